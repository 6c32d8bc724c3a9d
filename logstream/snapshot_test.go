package logstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const snapshotStream = "control" + snapshotSuffix

// testPayloads returns payloads that set a few pools, some of them twice.
func testPayloads(t *testing.T, n int) [][]byte {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	var out [][]byte
	for i := range n {
		batch := statemachine.Batch{Writer: fmt.Sprint("w", random.IntN(3)), AtMS: int64(i), Records: []statemachine.Record{
			{Seq: uint64(random.IntN(n) + 1), Command: pool(fmt.Sprint("p", random.IntN(4)), uint64(random.IntN(3)))},
		}}
		payload, err := statemachine.EncodeBatch(batch)
		require.NoError(t, err)
		out = append(out, payload)
	}
	return out
}

// replay applies the payloads to the state.
func replay(t *testing.T, s *statemachine.State, payloads [][]byte) *statemachine.State {
	t.Helper()
	for _, payload := range payloads {
		batch, err := statemachine.DecodeBatch(payload)
		require.NoError(t, err)
		s, _ = s.Apply(s.NextOffset, batch)
	}
	return s
}

func encodeState(t *testing.T, s *statemachine.State) string {
	t.Helper()
	raw, err := json.Marshal(s)
	require.NoError(t, err)
	return string(raw)
}

// TestSnapshot_TailEqualsReplay checks at every offset that a snapshot and the
// records after it result in the same state as all records.
func TestSnapshot_TailEqualsReplay(t *testing.T) {
	payloads := testPayloads(t, 60)
	want := encodeState(t, replay(t, statemachine.New(), payloads))
	for cut := range payloads {
		raw, err := statemachine.EncodeSnapshot(replay(t, statemachine.New(), payloads[:cut]))
		require.NoError(t, err)
		restored, err := statemachine.DecodeSnapshot(raw)
		require.NoError(t, err)
		require.Equal(t, uint64(cut), restored.NextOffset)
		require.Equal(t, want, encodeState(t, replay(t, restored, payloads[cut:])))
	}
}

// bigState returns a state whose snapshot takes several chunks.
func bigState(t *testing.T, next uint64) *statemachine.State {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 4))
	var name bytes.Buffer
	for range 1500 {
		fmt.Fprintf(&name, "%016x", random.Uint64())
	}
	s := statemachine.New()
	s.Pools = s.Pools.Set("p", &statemachine.Pool{Name: name.String(), Version: next})
	s.NextOffset = next
	return s
}

// TestSnapshotStore_Load covers the contents that a reader may find in the
// stream.
func TestSnapshotStore_Load(t *testing.T) {
	old, latest := bigState(t, 10), bigState(t, 20)
	chunksOf := func(s *statemachine.State) [][]byte {
		log := fakelog.New(clockwork.NewRealClock())
		snapshots := NewSnapshotStore(log, "control")
		snapshots.chunkBytes = 4 << 10
		require.NoError(t, snapshots.Save(context.Background(), Snapshot{Identity: "i", State: s}))
		return log.Payloads(snapshotStream)
	}
	a, b := chunksOf(old), chunksOf(latest)
	require.Greater(t, len(b), 2)
	largest, err := json.Marshal(snapshotChunk{
		Identity: "a UUID or another name of a stream", Next: math.MaxUint64, Sum: math.MaxUint64, Data: make([]byte, maxChunkBytes),
	})
	require.NoError(t, err)
	require.Less(t, len(largest), 512<<10)
	damaged := bytes.Replace(b[1], []byte(`"data":"`), []byte(`"data":"AAAA`), 1)
	join := func(parts ...[][]byte) (out [][]byte) {
		for _, p := range parts {
			out = append(out, p...)
		}
		return out
	}
	cases := []struct {
		name     string
		payloads [][]byte
		next     uint64
	}{
		{"none", nil, 0},
		{"one", b, 20},
		{"older after later", join(b, a), 20},
		{"later incomplete", join(a, b[1:]), 10},
		{"two interleaved", join(a[:1], b[:1], a[1:], b[1:]), 20},
		{"duplicated and reordered chunks", join(b[2:], b[1:], b[:1]), 20},
		{"a chunk damaged", join(a, b[:1], [][]byte{damaged}, b[2:]), 10},
		{"garbage between", join([][]byte{nil, []byte("x"), []byte(`{"schema":1,"count":-1}`)}, a), 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := fakelog.New(clockwork.NewRealClock())
			_, err := log.Append(context.Background(), snapshotStream, c.payloads)
			require.NoError(t, err)
			got, err := NewSnapshotStore(log, "control").Load(context.Background())
			if c.next == 0 {
				require.ErrorIs(t, err, ErrNoSnapshot)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.next, got.State.NextOffset)
			kept, _ := got.State.Pools.Get("p")
			require.Equal(t, c.next, kept.Version)
		})
	}
}

// TestStream_StartsFromSnapshot checks that a stream starts and catches up past
// a trimmed log, and that it makes no progress without the snapshot.
func TestStream_StartsFromSnapshot(t *testing.T) {
	log := fakelog.New(clockwork.NewRealClock())
	snapshots := NewSnapshotStore(log, "control")
	restore := func(c *Config) { c.LoadSnapshot = snapshots.Load }
	writer := startFixture(t, log, "w", restore)
	lagging := startFixture(t, log, "b", restore)
	put := func(version uint64) {
		a := writer.propose(pool("p", version))
		a.wait(t)
		require.NoError(t, a.err)
	}
	put(0)
	lagging.eventually(func() bool { return lagging.version("p") == 1 })
	log.SetFaults(func(f *fakelog.Faults) { f.Disconnected = []string{"b"} })
	put(1)
	put(2)
	saver := NewSnapshotter(writer.stream, snapshots, SnapshotPolicy{MaxRecords: 100, MaxAge: time.Hour}, func() bool { return true })
	saver.saveIfDue(context.Background())
	put(3)
	log.Trim("control", 3)

	fresh := startFixture(t, log, "f", restore)
	fresh.eventually(func() bool { return fresh.version("p") == 4 })
	require.Equal(t, encodeState(t, writer.stream.State()), encodeState(t, fresh.stream.State()))

	log.SetFaults(func(f *fakelog.Faults) { f.Disconnected = nil })
	lagging.eventually(func() bool { return lagging.version("p") == 4 })
	require.Equal(t, uint64(4), lagging.stream.State().NextOffset)

	noSnapshot := startFixture(t, log, "n", nil)
	noSnapshot.eventually(func() bool { return noSnapshot.stream.reads.Load() > 3 })
	require.Zero(t, noSnapshot.stream.State().NextOffset)
	require.Greater(t, noSnapshot.stream.Staleness(), time.Hour)
}

// TestInstall_IgnoresOlderSnapshots checks older, equal and other streams'
// snapshots.
func TestInstall_IgnoresOlderSnapshots(t *testing.T) {
	s := New(testConfig(fakelog.New(clockwork.NewRealClock()), "w"), statemachine.New())
	var installed []uint64
	s.ObserveInstall(func(state *statemachine.State) { installed = append(installed, state.NextOffset) })
	at := func(next uint64) *statemachine.State {
		return &statemachine.State{NextOffset: next}
	}
	require.NoError(t, s.Install(Snapshot{Identity: "i", State: at(5)}))
	require.NoError(t, s.Install(Snapshot{Identity: "i", State: at(4)}))
	require.NoError(t, s.Install(Snapshot{Identity: "i", State: at(5)}))
	require.Error(t, s.Install(Snapshot{Identity: "j", State: at(9)}))
	require.NoError(t, s.Install(Snapshot{Identity: "i", State: at(6)}))
	require.Equal(t, []uint64{5, 6}, installed)
	require.Equal(t, uint64(6), s.State().NextOffset)
}

// TestSnapshotter_Due covers when a snapshot is written.
func TestSnapshotter_Due(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := fakelog.New(clock)
	cfg := testConfig(log, "w")
	cfg.Clock = clock
	stream := New(cfg, statemachine.New())
	elected := true
	s := NewSnapshotter(stream, NewSnapshotStore(log, "control"), SnapshotPolicy{MaxRecords: 10, MaxAge: time.Minute}, func() bool { return elected })
	steps := []struct {
		name    string
		next    uint64
		pass    time.Duration
		elected bool
		written int
	}{
		{"nothing applied", 0, 0, true, 0},
		{"another process is elected", 3, time.Hour, false, 0},
		{"the first one", 3, 0, true, 1},
		{"too early", 12, time.Second, true, 1},
		{"by records", 13, time.Second, true, 2},
		{"by age", 13, time.Minute, true, 3},
		{"no longer elected", 13, time.Second, false, 3},
		{"re-elected, latest snapshot unknown", 13, time.Second, true, 4},
	}
	for _, step := range steps {
		clock.Advance(step.pass)
		elected = step.elected
		if step.next > stream.State().NextOffset {
			require.NoError(t, stream.Install(Snapshot{Identity: "i", State: &statemachine.State{NextOffset: step.next}}))
		}
		s.saveIfDue(context.Background())
		require.Len(t, log.Payloads(snapshotStream), step.written, step.name)
	}
}

// TestFollow_FirstReadDoesNotWait checks that the first read of an empty stream
// does not wait for a record before the state counts as current.
func TestFollow_FirstReadDoesNotWait(t *testing.T) {
	log := fakelog.New(clockwork.NewRealClock())
	h := startFixture(t, log, "w", func(c *Config) { c.Limits.ReadWait = time.Hour })
	h.eventually(func() bool { return h.stream.Staleness() < time.Hour })
}
