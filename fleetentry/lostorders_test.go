package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// chain is a job of steps of one short task each, one after the other.
func chain(steps int) string {
	all := make([]emulator.Step, steps)
	for i := range all {
		all[i] = emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 100}
		if i > 0 {
			all[i].DependsOn = []int{i - 1}
		}
	}
	return emulator.JobBody("short", all...)
}

// TestLostOrders_StepsGoOn replays workers that leave a part of the calls
// unanswered: scale-1 of the grown sites, where ends were noticed two seconds late
// on a third of the workers.
func TestLostOrders_StepsGoOn(t *testing.T) {
	cases := []struct {
		name string
		path string
		// oneIn calls is lost.
		oneIn int64
		// within is the time for six steps of 60 ms each.
		within time.Duration
	}{
		{name: "looks", path: emulator.PollPath, oneIn: 3, within: 3 * time.Second},
		{name: "starts", path: emulator.StartPath, oneIn: 2, within: 1600 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 1)
			owner := w.owner()
			w.awaitState(w.submit("desk", twoSteps("short")), "completed")
			w.onWorkers(c.path, c.oneIn, emulator.WorkerDelayed)
			began := time.Now()
			w.awaitState(w.submit("desk", chain(6)), "completed")
			require.Less(t, time.Since(began), c.within)
			require.Nil(t, owner.metrics.counters.Get("event_worker.unreachable"), "one lost call makes a worker unreachable")
		})
	}
}

// TestLook_AnsweredLooksAreNotRepeated counts the second tries while nothing fails.
func TestLook_AnsweredLooksAreNotRepeated(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	owner := w.owner()
	w.awaitState(w.submit("desk", twoSteps("short")), "completed")
	require.NotNil(t, owner.metrics.counters.Get("looks"))
	require.Nil(t, owner.metrics.counters.Get("looks_lost"), "looks were made twice")
}
