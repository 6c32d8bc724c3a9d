package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// chain is a job of steps of one short task each, in sequence.
func chain(steps int) string {
	chained := make([]emulator.Step, steps)
	for i := range chained {
		chained[i] = emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 100}
		if i > 0 {
			chained[i].DependsOn = []int{i - 1}
		}
	}
	return emulator.JobBody("short", chained...)
}

// TestLostCalls_StepsProgress uses workers that leave some calls unanswered: outcomes
// were noticed two seconds late on a third of the workers (seen on benchmark day
// scale-1 of the grown deployments).
func TestLostCalls_StepsProgress(t *testing.T) {
	cases := []struct {
		name string
		path string
		// One call in oneIn is lost.
		oneIn int64
		// within is the time for six steps of 60 ms each.
		within time.Duration
	}{
		{name: "polls", path: emulator.PollPath, oneIn: 3, within: 3 * time.Second},
		{name: "starts", path: emulator.StartPath, oneIn: 2, within: 1600 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 1)
			leader := p.leader()
			p.awaitState(p.submit("desk", twoSteps("short")), "completed")
			p.failOnWorkers(c.path, c.oneIn, emulator.WorkerDelayed)
			start := time.Now()
			p.awaitState(p.submit("desk", chain(6)), "completed")
			require.Less(t, time.Since(start), c.within)
			require.Nil(t, leader.metrics.counters.Get("event_worker.unreachable"), "one lost call makes a worker unreachable")
		})
	}
}

// TestPoll_AnsweredPollsAreNotRetried counts the retries while nothing fails.
func TestPoll_AnsweredPollsAreNotRetried(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1)
	leader := p.leader()
	p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	require.NotNil(t, leader.metrics.counters.Get("looks"))
	require.Nil(t, leader.metrics.counters.Get("looks_lost"), "polls were retried")
}
