package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// TestStall_MovesOnce replays workers on which runs stand still: the task is
// stopped there and starts elsewhere, and a task that is slow itself is left alone
// the second time.
func TestStall_MovesOnce(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 4)
	b.addWorker("w-2", testPool, 4)
	b.pass(100 * time.Millisecond)
	b.s.Submit(b.job("j", fleet.Step{EstimateMillis: 500}), b.now)
	b.s.Place(b.now)
	b.carryOut()
	tsk := b.s.find(taskOf("j", 0))
	first := tsk.worker.info.ID
	stall := func(id string, d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); {
			b.now = b.now.Add(100 * time.Millisecond)
			for other := range b.fleet {
				look := fleet.WorkerStatus{ClockMillis: b.now.UnixMilli(), StartedAtMillis: 1, Finished: b.ended[other]}
				for task, run := range b.runs[other] {
					look.Active = append(look.Active, fleet.ActiveRun{Task: task, Attempt: run.attempt, Percent: 5})
				}
				b.s.HandleStatus(other, &look, b.now, b.now)
			}
			b.s.Place(b.now)
			b.carryOut()
		}
	}
	stall(first, 2*time.Second)
	require.NotEqual(t, first, tsk.worker.info.ID, "the task stays where it stands still")
	second := tsk.worker.info.ID
	require.Equal(t, 2, tsk.attempt)
	stall(second, 3*time.Second)
	require.Equal(t, 2, tsk.attempt, "a task that is slow itself is moved again and again")
}

// TestPace_KeepsTargets replays a serving task whose tail rises beside work that
// fills: the filling work slows, stops, and comes back when the tail is low.
func TestPace_KeepsTargets(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 4)
	b.pass(100 * time.Millisecond)
	serve := fleet.Step{LongRunning: true, TailLatencyTargetMillis: 100}
	fill := fleet.Step{LongRunning: true, BestEffort: true}
	b.s.Submit(b.job("serve", serve), b.now)
	b.s.Submit(b.job("fill", fill), b.now)
	b.s.Place(b.now)
	b.carryOut()
	filling := b.s.find(taskOf("fill", 0))
	run := func(tail int64, d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); {
			b.now = b.now.Add(900 * time.Millisecond)
			look := fleet.WorkerStatus{ClockMillis: b.now.UnixMilli(), StartedAtMillis: 1, Active: []fleet.ActiveRun{
				{Task: taskOf("serve", 0), Attempt: 1, Percent: 100, Usage: tail},
				{Task: taskOf("fill", 0), Attempt: 1, Percent: 100, Usage: 500},
			}}
			b.s.HandleStatus("w-1", &look, b.now, b.now)
			b.carryOut()
		}
	}
	run(50, 3*time.Second)
	require.Equal(t, 100, filling.pace)
	run(120, 3600*time.Millisecond)
	require.Zero(t, filling.pace, "the filling work goes on while the tail is over its target for the allowed time")
	run(40, 20*time.Second)
	require.Equal(t, 100, filling.pace)
}
