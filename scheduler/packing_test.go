package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// TestPacking_EndsTogether has two half-full workers, one of which ends soon and one late:
// short and long tasks join what ends with them, so that a VM becomes empty. By fullness
// alone they mix, and both stay in use.
func TestPacking_EndsTogether(t *testing.T) {
	mixed := func(lookahead bool) int {
		f := newTestFleet(t)
		f.s.cfg.Policies.Lookahead = lookahead
		f.addWorker("w-1", testPool, 16)
		f.addWorker("w-2", testPool, 16)
		f.advance(100 * time.Millisecond)
		submit := func(id, label string, milliCPU, millis int64) {
			f.s.Submit(f.newJob(id, fleet.Step{EstimateMillis: millis, Label: label, Need: fleet.Resources{MilliCPU: milliCPU}}), f.now)
			f.advance(50 * time.Millisecond)
		}
		submit("early", "r-w-1", 6500, 1000)
		submit("late", "r-w-2", 6000, 4000)
		for i := range 3 {
			submit("short"+jobID(i), "", 2000, 800)
			submit("long"+jobID(i), "", 2000, 3000)
		}
		f.advance(1500 * time.Millisecond)
		return len(f.runs["w-1"])
	}
	require.Zero(t, mixed(true), "the worker whose tasks end soon got long ones")
	require.Positive(t, mixed(false))
}

// TestPacking_LeavesMemoryBesideCores places tasks that need cores on workers that are
// full of memory, while others with more memory than cores wait.
func TestPacking_LeavesMemoryBesideCores(t *testing.T) {
	p := &poolRound{waiting: fleet.Resources{MilliCPU: 4000, MemMB: 16000}}
	capacity := fleet.Resources{MilliCPU: 16000, MemMB: 64000}
	require.Zero(t, p.stranded(fleet.Resources{MilliCPU: 4000, MemMB: 16000}, capacity))
	require.InDelta(t, 0.25, p.stranded(fleet.Resources{MilliCPU: 8000, MemMB: 16000}, capacity), 1e-9)
	require.Zero(t, p.stranded(fleet.Resources{MilliCPU: 1000, MemMB: 64000}, capacity))
	require.Zero(t, (&poolRound{}).stranded(capacity, capacity), "nothing waits")
}

// TestExpectedEnd compares what is expected of runs whose estimates are wrong with what
// they take: by their own rate, by the step's other runs, and by the queue's.
func TestExpectedEnd(t *testing.T) {
	for _, factor := range []int64{1, 3} {
		f := newTestFleet(t)
		f.s.cfg.Policies.Lookahead = true
		f.addWorker("w-1", testPool, 4)
		f.runTime = func(id fleet.TaskID) time.Duration {
			return time.Duration(factor) * f.s.findTask(id).step.def.Estimate()
		}
		f.advance(100 * time.Millisecond)
		f.s.Submit(f.newJob("j", fleet.Step{Count: 6, EstimateMillis: 1000}), f.now)
		f.advance(50 * time.Millisecond)
		started := f.now
		f.advance(500 * time.Millisecond)
		first := f.s.findTask(taskOf("j", 0))
		seen := time.Duration(factor) * time.Second
		require.InDelta(t, seen.Seconds(), f.s.expectedEnd(first, f.now).Sub(started).Seconds(), 0.25)
		require.InDelta(t, seen.Seconds(), first.step.duration().Seconds(), 0.25, "the step's own runs")
		for i := range 2 * minRatios {
			f.s.Submit(f.newJob(jobID(i), fleet.Step{EstimateMillis: 200}), f.now)
		}
		f.advance(time.Duration(factor) * 6 * time.Second)
		f.s.Submit(f.newJob("next", fleet.Step{EstimateMillis: 1000}), f.now)
		next := f.s.findTask(taskOf("next", 0))
		require.True(t, f.s.expectedEnd(next, f.now).IsZero(), "it has no run")
		require.InDelta(t, seen.Seconds(), f.s.expectedRun(next.step).Seconds(), 0.3*seen.Seconds(), "the queue's runs")
	}
}

// TestStepDuration_SavesLongerJobs plays a job that takes twice its estimate and waits:
// it is not taken for late while it is on time.
func TestStepDuration_SavesLongerJobs(t *testing.T) {
	class := func(lookahead bool) rankClass {
		f := newTestFleet(t)
		f.s.cfg.Policies.Lookahead = lookahead
		f.addWorker("w-1", testPool, 2)
		f.runTime = func(id fleet.TaskID) time.Duration { return 2 * f.s.findTask(id).step.def.Estimate() }
		f.advance(100 * time.Millisecond)
		f.s.Submit(f.newJob("j", fleet.Step{Count: 2, EstimateMillis: 1000}, fleet.Step{Count: 2, EstimateMillis: 1000, DependsOn: []int{0}}), f.now)
		f.advance(3 * time.Second)
		return rankOf(f.s.findTask(fleet.TaskID{Job: "j", Step: 1}).step, 0, f.now).class
	}
	require.Equal(t, classOnTime, class(true))
	require.Equal(t, classLate, class(false))
}
