package fleetentry

import (
	"expvar"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// TestPoll_SlowReportsKeepRuns uses workers that report late, and later than a poll
// waits at first, for longer than a lease. Their tasks run on and must not be given up
// or started elsewhere.
func TestPoll_SlowReportsKeepRuns(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1)
	p.leader()
	const tasks = 3
	path := p.submit("desk", longRunningJob(tasks, 0))
	id := jobIDOf(path)
	require.Eventually(t, func() bool { return p.fleet.Running(id) == tasks }, 5*time.Second, 20*time.Millisecond)
	p.failOnWorkers(emulator.PollPath, 1, emulator.WorkerRepliesLate)
	require.Never(t, func() bool { return p.fleet.Running(id) < tasks }, workerLeaseDuration+3*time.Second, 50*time.Millisecond,
		"the lease of a worker that is only slow to report has lapsed")
	for i := range tasks {
		require.Equal(t, 1, p.fleet.Starts(fmt.Sprintf("%s.0.0.%d", id, i)))
	}
	require.Empty(t, p.fleet.Violations())
}

// TestPoll_WaitsForStoredOutcomes lets a worker's outcomes be stored late: polls that
// cannot acknowledge them would return the same outcomes again.
func TestPoll_WaitsForStoredOutcomes(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1)
	leader := p.leader()
	p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	p.store.SetDelay(100 * time.Millisecond)
	counter := func(name string) int64 { return leader.metrics.counters.Get(name).(*expvar.Int).Value() }
	// The polls that precede starts don't wait for outcomes.
	polls := func() int64 { return counter("looks") - counter("looks_before_start") }
	before := polls()
	const steps = 6
	p.awaitState(p.submit("desk", chain(steps)), "completed")
	// One poll returns each outcome and one acknowledges it; the other five workers are
	// polled once in 1.4 s.
	require.LessOrEqual(t, polls()-before, int64(2*steps+12))
}
