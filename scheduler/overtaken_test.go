package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// TestStatus_OvertakenByTheEndOfARun lets the response that lists the end of a stopped run
// overtake one that was written before the stop, to a poll that was sent later (seen on
// a day of evacuations, where one task too many was stopped).
func TestStatus_OvertakenByTheEndOfARun(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 4)
	f.addWorker("w-2", testPool, 4)
	f.advance(3 * time.Second)
	f.s.Submit(f.newJob("serve", longRunningStep(2, 1)), f.now)
	f.advance(500 * time.Millisecond)
	task := f.s.findTask(taskOf("serve", 0))
	id := task.worker.info.ID
	status := func(active []fleet.ActiveRun, finished ...fleet.FinishedRun) *fleet.WorkerStatus {
		return &fleet.WorkerStatus{ClockMillis: f.now.UnixMilli(), StartedAtMillis: f.workers[id].StartedAtMillis, Active: active, Finished: finished}
	}
	var active, others []fleet.ActiveRun
	for runID, run := range f.runs[id] {
		active = append(active, fleet.ActiveRun{Task: runID, Attempt: run.attempt, Percent: 100})
		if runID != task.id {
			others = append(others, active[len(active)-1])
		}
	}
	overtaken := status(active)
	f.s.requestStop(task, f.now)
	f.finishedCount++
	ended := fleet.FinishedRun{Number: f.finishedCount, Task: task.id, Attempt: task.attempt, Outcome: fleet.RunStopped}
	f.s.HandleStatus(id, status(others, ended), f.now, f.now)
	require.Equal(t, waiting, task.phase)
	f.s.HandleStatus(id, overtaken, f.now.Add(time.Millisecond), f.now.Add(2*time.Millisecond))
	require.Equal(t, waiting, task.phase, "a run that has ended is adopted")
	require.Equal(t, 1, task.step.unavailable(f.now))
	require.Zero(t, task.strays)
}
