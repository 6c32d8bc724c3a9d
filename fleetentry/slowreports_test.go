package fleetentry

import (
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
