package fleetentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
)

// TestStreamSelector_SlowStore uses a store that does an append in 52 ms, one at a
// time in each stream: 35 entries that write to one stream wait for 1.8 s (seen on
// benchmark day trouble-2 of deployment apitt-encomendas-grown).
func TestStreamSelector_SlowStore(t *testing.T) {
	const (
		entries    = 35
		appendTime = 52 * time.Millisecond
		maxWait    = time.Second
	)
	now := time.UnixMilli(1_000_000)
	load := map[int]int{}
	for i := range entries {
		selector := newStreamSelector(fmt.Sprintf("entry-%d", i))
		require.Zero(t, selector.pick(now), "an entry uses its alternate stream without need")
		selector.observe(now, 4*time.Millisecond, nil)
		require.Zero(t, selector.pick(now))
		selector.observe(now, entries*appendTime, nil)
		load[selector.pick(now)]++
		require.Zero(t, selector.pick(now.Add(alternatePeriod)), "the first stream is not retried")
	}
	require.Zero(t, load[0])
	for stream, n := range load {
		require.Less(t, time.Duration(n)*appendTime, maxWait, "stream %d has %d entries", stream, n)
	}
}

func TestStreamSelector_UnavailableStream(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	selector := newStreamSelector("entry")
	selector.observe(now, time.Millisecond, &provider.Error{Outcome: provider.Refused, Code: provider.CodeUnavailable})
	require.NotZero(t, selector.pick(now))
	selector = newStreamSelector("entry")
	selector.observe(now, time.Millisecond, &provider.Error{Outcome: provider.Refused, Code: provider.CodeRateLimited})
	require.Zero(t, selector.pick(now), "another stream does not help against a rate limit")
}

// TestJobStreams_SlowStore submits jobs while the store is so slow that entries use
// alternate streams, and crashes the leader meanwhile.
func TestJobStreams_SlowStore(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 3)
	p.leader()
	p.store.SetDelay(slowAppendThreshold + 20*time.Millisecond)
	var paths []string
	for range 6 {
		paths = append(paths, p.submit("desk", twoSteps("short")))
	}
	alternate := 0
	for _, name := range jobStreams[1:] {
		alternate += len(p.store.Keys("keyed." + name))
	}
	require.Greater(t, alternate, len(jobStreams)-1, "no record went to an alternate stream")
	crash(p.leader())
	p.store.SetDelay(0)
	for _, path := range paths {
		p.awaitState(path, "completed")
	}
}
