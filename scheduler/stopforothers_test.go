package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// newStopped returns a fleet with a task that has run for a second and whose run has just
// been asked to stop for other work, and its stop.
func newStopped(t *testing.T) (*testFleet, *fleet.Submission, StopRequest) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 1)
	f.advance(100 * time.Millisecond)
	sub := f.newJob("j", fleet.Step{EstimateMillis: secondsToMillis(10), Checkpointing: true})
	f.s.Submit(sub, f.now)
	f.advance(1100 * time.Millisecond)
	f.s.stopForOthers(f.s.findTask(taskOf("j", 0)), "task.preempted", "", f.now)
	f.takeEvents()
	batch := f.s.TakeBatch()
	require.Len(t, batch.Stops, 1)
	require.Empty(t, f.s.HandleBatchPersisted(batch.Number, f.now))
	return f, sub, batch.Stops[0]
}

// requireResumed checks that the second run goes on from the progress of the first, and
// that no failed attempt is counted.
func requireResumed(t *testing.T, f *testFleet, worker string) {
	run := f.runs[worker][taskOf("j", 0)]
	require.NotNil(t, run, "the task has not started again")
	require.Equal(t, 2, run.attempt)
	require.GreaterOrEqual(t, run.saved, time.Second, "saved work is done again")
	require.Zero(t, f.s.findTask(taskOf("j", 0)).failures)
}

// TestStopForOthers_TakeoverInTheMiddle ends the leader between its stop and the report
// of the end: the next one learns of the end and of its checkpoint from the worker, or
// finds the run at work and leaves it alone.
func TestStopForOthers_TakeoverInTheMiddle(t *testing.T) {
	f, sub, stop := newStopped(t)
	f.finishRun("w-1", stop.Task, fleet.RunStopped)
	f.takeover(f.recorded, sub)
	f.advance(200 * time.Millisecond)
	requireResumed(t, f, "w-1")

	f, sub, _ = newStopped(t) // The stop is lost with its leader.
	f.takeover(f.recorded, sub)
	f.advance(200 * time.Millisecond)
	require.Equal(t, 1, f.runs["w-1"][taskOf("j", 0)].attempt, "a run that goes on is started again")
}

// TestStopForOthers_AnswerLost gets no answer to the stop: the report of the end tells it.
func TestStopForOthers_AnswerLost(t *testing.T) {
	f, _, stop := newStopped(t)
	f.s.HandleStopResponse(&stop, unknownOutcome(), f.now)
	f.advance(100 * time.Millisecond)
	require.Equal(t, stopping, f.s.findTask(stop.Task).phase, "a run that may exist is given up")
	f.finishRun("w-1", stop.Task, fleet.RunStopped)
	f.advance(100 * time.Millisecond)
	requireResumed(t, f, "w-1")
}

// TestStopForOthers_EndsByItself lets the run succeed before the stop reaches it.
func TestStopForOthers_EndsByItself(t *testing.T) {
	f, _, stop := newStopped(t)
	f.finishRun("w-1", stop.Task, fleet.RunDone)
	f.s.HandleStopResponse(&stop, nil, f.now)
	f.advance(200 * time.Millisecond)
	require.True(t, f.s.jobs["j"].finished)
	require.Equal(t, 1, f.attempts[stop.Task], "the task runs again after its success")
}

// TestStopForOthers_WorkerReborn ends the worker's incarnation between the stop and the
// report: the task starts again, from the checkpoint that is known, and the old
// incarnation's late answer changes nothing.
func TestStopForOthers_WorkerReborn(t *testing.T) {
	f, _, stop := newStopped(t)
	clear(f.runs["w-1"])
	f.addWorker("w-2", testPool, 1)
	w := f.workers["w-1"]
	w.StartedAtMillis++
	f.workers["w-1"] = w
	f.s.SetWorkers(f.workers, f.now)
	f.advance(200 * time.Millisecond)
	task := f.s.findTask(stop.Task)
	require.Equal(t, 2, task.attempt)
	require.Zero(t, task.failures)
	f.s.HandleStopResponse(&stop, nil, f.now)
	f.advance(200 * time.Millisecond)
	require.Equal(t, running, f.s.findTask(stop.Task).phase)
	require.Equal(t, 2, f.attempts[stop.Task])
}

// TestStopForOthers_OlderCheckpoint applies a status that overtook the report of the end:
// the progress of the stop is what the next run gets.
func TestStopForOthers_OlderCheckpoint(t *testing.T) {
	f, _, stop := newStopped(t)
	sent := f.now
	f.finishRun("w-1", stop.Task, fleet.RunStopped)
	f.now = f.now.Add(10 * time.Millisecond)
	f.poll("w-1")
	f.s.HandleStatus("w-1", &fleet.WorkerStatus{ClockMillis: f.now.UnixMilli(), StartedAtMillis: 1, Active: []fleet.ActiveRun{
		{Task: stop.Task, Attempt: stop.Attempt, Checkpoint: "1ms", Percent: 10}}}, sent, f.now)
	f.advance(200 * time.Millisecond)
	requireResumed(t, f, "w-1")
}
