package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// restoredRun returns a fleet whose new leader has restored a run that exists on
// incarnation 5 of w-1, while the list shows the worker as given.
func restoredRun(t *testing.T, list map[string]fleet.Worker) *testFleet {
	f := twoWorkers(t)
	sub := f.newJob("j", fleet.Step{EstimateMillis: secondsToMillis(60)})
	id := taskOf("j", 0)
	record := ledger.AssignmentRecord(id, ledger.Assignment{Phase: ledger.PhaseAssigned, Attempt: 1, Worker: "w-1", WorkerStartedAtMillis: 5})
	actual := f.workers
	f.workers = list
	f.takeover([]ledgerRecord{ledgerRecord(record)}, sub)
	f.workers = actual
	w := f.workers["w-1"]
	w.StartedAtMillis = 5
	f.workers["w-1"] = w
	f.runs["w-1"][id] = &fakeRun{attempt: 1, startedAt: f.now, until: f.now.Add(time.Minute)}
	return f
}

// TestTakeover_ListIsBehindTheAssignment guards against a second start of a run whose
// stored assignment names a later incarnation than the list of workers does.
func TestTakeover_ListIsBehindTheAssignment(t *testing.T) {
	all := twoWorkers(t).workers
	for name, list := range map[string]map[string]fleet.Worker{
		"an earlier incarnation is listed": all,
		"the worker is not listed":         {"w-2": all["w-2"]},
	} {
		t.Run(name, func(t *testing.T) {
			f := restoredRun(t, list)
			f.poll("w-2")
			f.s.Place(f.now)
			f.applyBatches()
			require.Equal(t, map[string]int{"w-1": 1}, f.running("j"))
			f.s.SetWorkers(all, f.now)
			f.advance(time.Second)
			require.Equal(t, map[string]int{"w-1": 1}, f.running("j"))
			require.Equal(t, 1, f.s.findTask(taskOf("j", 0)).attempt)
		})
	}
}
