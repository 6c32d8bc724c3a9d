package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// TestAbsence_EndIsNotReturnedYet guards against a second start of a run whose end the
// worker holds back until it may forget earlier ones.
func TestAbsence_EndIsNotReturnedYet(t *testing.T) {
	f := twoWorkers(t)
	sub := f.newJob("j", fleet.Step{})
	f.s.Submit(sub, f.now)
	f.s.Place(f.now)
	records := f.applyBatches()
	id := f.s.findTask(taskOf("j", 0)).worker.info.ID
	f.finishRun(id, taskOf("j", 0), fleet.RunDone)
	f.takeover(records, sub)
	other := fleet.FinishedRun{Number: 1, Task: taskOf("other", 0), Attempt: 1, Outcome: fleet.RunDone}
	first := fleet.WorkerStatus{StartedAtMillis: 1, Finished: []fleet.FinishedRun{other}, MoreFinished: true}
	f.now = f.now.Add(10 * time.Millisecond)
	f.s.HandleStatus(id, &first, f.now, f.now)
	f.s.Place(f.now)
	require.Equal(t, starting, f.s.findTask(taskOf("j", 0)).phase)
	second := fleet.WorkerStatus{StartedAtMillis: 1, Finished: []fleet.FinishedRun{{Number: 2, Task: taskOf("j", 0), Attempt: 1, Outcome: fleet.RunDone}}}
	f.now = f.now.Add(10 * time.Millisecond)
	f.s.HandleStatus(id, &second, f.now, f.now)
	require.Equal(t, done, f.s.findTask(taskOf("j", 0)).phase)
	require.Equal(t, 1, f.s.findTask(taskOf("j", 0)).attempt)
}
