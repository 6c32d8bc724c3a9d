package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// TestStall_MovesTaskOnce simulates workers on which runs stall: the task is stopped
// there and restarted elsewhere, but a task that is slow itself is not moved a second
// time.
func TestStall_MovesTaskOnce(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 4)
	f.addWorker("w-2", testPool, 4)
	f.advance(100 * time.Millisecond)
	f.s.Submit(f.newJob("j", fleet.Step{EstimateMillis: 500}), f.now)
	f.s.Place(f.now)
	f.applyBatches()
	tsk := f.s.findTask(taskOf("j", 0))
	first := tsk.worker.info.ID
	stall := func(id string, d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.now = f.now.Add(100 * time.Millisecond)
			for other := range f.workers {
				status := fleet.WorkerStatus{ClockMillis: f.now.UnixMilli(), StartedAtMillis: 1, Finished: f.finished[other]}
				for task, run := range f.runs[other] {
					status.Active = append(status.Active, fleet.ActiveRun{Task: task, Attempt: run.attempt, Percent: 5})
				}
				f.s.HandleStatus(other, &status, f.now, f.now)
			}
			f.s.Place(f.now)
			f.applyBatches()
		}
	}
	stall(first, 2*time.Second)
	require.NotEqual(t, first, tsk.worker.info.ID, "the stalled task is not moved")
	second := tsk.worker.info.ID
	require.Equal(t, 2, tsk.attempt)
	stall(second, 3*time.Second)
	require.Equal(t, 2, tsk.attempt, "a task that is slow itself is moved repeatedly")
}

// TestThrottle_ProtectsLatencyTarget simulates a task whose tail latency rises beside a
// best-effort task, which is throttled, stopped and then restored.
func TestThrottle_ProtectsLatencyTarget(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 4)
	f.advance(100 * time.Millisecond)
	latencyStep := fleet.Step{LongRunning: true, TailLatencyTargetMillis: 100}
	bestEffortStep := fleet.Step{LongRunning: true, BestEffort: true}
	f.s.Submit(f.newJob("serve", latencyStep), f.now)
	f.s.Submit(f.newJob("batch", bestEffortStep), f.now)
	f.s.Place(f.now)
	f.applyBatches()
	bestEffort := f.s.findTask(taskOf("batch", 0))
	run := func(tail int64, d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.now = f.now.Add(900 * time.Millisecond)
			status := fleet.WorkerStatus{ClockMillis: f.now.UnixMilli(), StartedAtMillis: 1, Active: []fleet.ActiveRun{
				{Task: taskOf("serve", 0), Attempt: 1, Percent: 100, Usage: tail},
				{Task: taskOf("batch", 0), Attempt: 1, Percent: 100, Usage: 500},
			}}
			f.s.HandleStatus("w-1", &status, f.now, f.now)
			f.applyBatches()
		}
	}
	run(50, 3*time.Second)
	require.Equal(t, 100, bestEffort.cpuPercent)
	run(120, 3600*time.Millisecond)
	require.Zero(t, bestEffort.cpuPercent, "the best-effort task runs while the tail latency exceeds its target for the allowed time")
	run(40, 20*time.Second)
	require.Equal(t, 100, bestEffort.cpuPercent)
}
