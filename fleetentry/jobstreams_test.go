package fleetentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
)

// TestStreamChoice_SlowStore replays a store that does an append in 52 ms, one
// after the other in each stream (trouble-2 of apitt-encomendas-grown): 35 entries
// that write to one stream wait for 1.8 s.
func TestStreamChoice_SlowStore(t *testing.T) {
	const (
		entries = 35
		each    = 52 * time.Millisecond
		most    = time.Second
	)
	now := time.UnixMilli(1_000_000)
	load := map[int]int{}
	for i := range entries {
		c := newStreamChoice(fmt.Sprintf("entry-%d", i))
		require.Zero(t, c.pick(now), "an entry writes aside without need")
		c.learn(now, 4*time.Millisecond, nil)
		require.Zero(t, c.pick(now))
		c.learn(now, entries*each, nil)
		load[c.pick(now)]++
		require.Zero(t, c.pick(now.Add(asideSpan)), "the choice is not tried again")
	}
	require.Zero(t, load[0])
	for stream, n := range load {
		require.Less(t, time.Duration(n)*each, most, "stream %d has %d entries", stream, n)
	}
}

func TestStreamChoice_StreamThatIsAway(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	c := newStreamChoice("entry")
	c.learn(now, time.Millisecond, &provider.Error{Outcome: provider.Refused, Code: provider.CodeUnavailable})
	require.NotZero(t, c.pick(now))
	c = newStreamChoice("entry")
	c.learn(now, time.Millisecond, &provider.Error{Outcome: provider.Refused, Code: provider.CodeRateLimited})
	require.Zero(t, c.pick(now), "another stream does not help against the rate of calls")
}

// TestJobStreams_SlowStore hands jobs in while the store is so slow that entries
// write aside, and crashes the owner on the way.
func TestJobStreams_SlowStore(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3)
	w.owner()
	w.store.SetDelay(slowAppend + 20*time.Millisecond)
	var paths []string
	for range 6 {
		paths = append(paths, w.submit("desk", twoSteps("short")))
	}
	aside := 0
	for _, name := range jobStreams[1:] {
		aside += len(w.store.Keys("keyed." + name))
	}
	require.Greater(t, aside, len(jobStreams)-1, "nothing was written aside")
	crash(w.owner())
	w.store.SetDelay(0)
	for _, path := range paths {
		w.awaitState(path, "completed")
	}
}
