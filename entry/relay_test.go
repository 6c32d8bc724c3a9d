package entry

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// relayedPeer answers calls with what its stream relays, and counts them.
type relayedPeer struct {
	stream *logstream.Stream
	cut    bool
	calls  int
}

// Call implements membership.Caller.
func (p *relayedPeer) Call(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	p.calls++
	if p.cut {
		return nil, errors.New("cut")
	}
	return newRelayHandler(p.stream)(ctx, req), nil
}

// relayBench is an entry that cannot read the log, and a peer that it asks.
type relayBench struct {
	clock  *clockwork.FakeClock
	peer   *relayedPeer
	relay  *relay
	member membership.Member
}

func relayStream(clock clockwork.Clock) *logstream.Stream {
	return logstream.New(logstream.Config{
		Name: controlStream, Clock: clock, Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
	}, statemachine.New())
}

func newRelayBench() *relayBench {
	clock := clockwork.NewFakeClock()
	b := &relayBench{clock: clock, peer: &relayedPeer{stream: relayStream(clock)}}
	b.relay = &relay{
		stream: relayStream(clock), caller: b.peer, clock: clock, logger: hclog.NewNullLogger(),
		reachable: func() []membership.Member { return []membership.Member{b.member} },
	}
	return b
}

// reads lets a stream know the payloads of the log up to now.
func (b *relayBench) reads(t *testing.T, stream *logstream.Stream, payloads ...[]byte) {
	t.Helper()
	page := logstream.RelayedPage{Identity: "log", Payloads: payloads, NextOffset: uint64(len(payloads))}
	require.NoError(t, stream.ApplyRelayed(page, b.clock.Now()))
}

// beat takes a heartbeat of the peer.
func (b *relayBench) beat() {
	b.member = membership.Member{Incarnation: "p", SentAt: b.clock.Now(), LastHeartbeat: &peerpb.Heartbeat{
		Applied: b.peer.stream.State().NextOffset, ControlAgeMs: ageMS(b.peer.stream.Staleness()),
	}}
}

func relayPayload(t *testing.T) []byte {
	t.Helper()
	payload, err := statemachine.EncodeBatch(statemachine.Batch{Writer: "w", Records: []statemachine.Record{
		{Seq: 1, Command: &statemachine.PoolSet{Pool: statemachine.Pool{Name: "p"}}},
	}})
	require.NoError(t, err)
	return payload
}

// TestRelay_FollowsPeer checks that an entry without the log keeps its state
// as current as its peer's, and takes over records and, when they are no
// longer kept one by one, the state.
func TestRelay_FollowsPeer(t *testing.T) {
	b := newRelayBench()
	b.reads(t, b.relay.stream)
	b.reads(t, b.peer.stream)
	for range 50 {
		b.clock.Advance(relayInterval)
		b.reads(t, b.peer.stream)
		b.beat()
		b.relay.once(t.Context())
		require.LessOrEqual(t, b.relay.stream.Staleness(), relayAfter)
	}
	require.NoError(t, b.peer.stream.ApplyRelayed(
		logstream.RelayedPage{Identity: "log", Payloads: [][]byte{relayPayload(t)}, NextOffset: 1}, b.clock.Now()))
	b.clock.Advance(relayAfter + 1)
	b.beat()
	b.relay.once(t.Context())
	require.Equal(t, uint64(1), b.relay.stream.State().NextOffset)
	require.NotNil(t, b.relay.stream.State())

	later := statemachine.New()
	later.NextOffset = 5000
	require.NoError(t, b.peer.stream.Install(logstream.Snapshot{Identity: "log", State: later}))
	b.beat()
	b.clock.Advance(relayAfter + 1)
	b.relay.once(t.Context())
	require.Equal(t, uint64(5000), b.relay.stream.State().NextOffset)
}

// TestRelay_AsksNobodyInVain covers when no peer is asked.
func TestRelay_AsksNobodyInVain(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*relayBench)
		calls   int
	}{
		{"the own proof is young", func(b *relayBench) { b.clock.Advance(relayAfter) }, 0},
		{"the peer knows no more", func(b *relayBench) { b.clock.Advance(currentFor); b.beat() }, 0},
		{"the peer has a younger proof", func(b *relayBench) {
			b.clock.Advance(currentFor)
			b.reads(t, b.peer.stream)
			b.beat()
		}, 1},
		// What the peer said has aged since: after a pause of all it is no
		// younger than the own proof, and would be current for a moment only.
		{"the peer's proof was younger when it said so", func(b *relayBench) {
			b.beat()
			b.clock.Advance(currentFor)
		}, 0},
		{"the peer is cut off", func(b *relayBench) {
			b.clock.Advance(currentFor)
			b.reads(t, b.peer.stream)
			b.beat()
			b.peer.cut = true
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newRelayBench()
			b.reads(t, b.relay.stream)
			b.reads(t, b.peer.stream)
			b.beat()
			c.prepare(b)
			before := b.relay.stream.Staleness()
			b.relay.once(t.Context())
			require.Equal(t, c.calls, b.peer.calls)
			require.LessOrEqual(t, b.relay.stream.Staleness(), before)
		})
	}
}
