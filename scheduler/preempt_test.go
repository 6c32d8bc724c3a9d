package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

const (
	crowdedVMs   = 4
	crowdedCores = 8
)

// newCrowdedFleet returns a pool that is full of work of four seconds which can only be
// late, with as much again that waits. Its leader has been in office for long.
func newCrowdedFleet(t *testing.T, on bool, late fleet.Step) *testFleet {
	f := newTestFleet(t)
	f.s.cfg.Policies.Preemption = on
	f.s.cfg.MaxStopTime, f.s.cfg.RestoreTime = 400*time.Millisecond, 100*time.Millisecond
	late.EstimateMillis = 4000
	for i := range 2 * crowdedVMs * crowdedCores {
		f.s.Submit(f.newJob(jobID(i), late), f.now)
	}
	f.advance(4 * time.Second)
	for i := range crowdedVMs {
		f.addWorker("w-"+jobID(i), testPool, crowdedCores)
	}
	f.advance(400 * time.Millisecond)
	require.Equal(t, crowdedVMs*crowdedCores, f.totalRuns())
	return f
}

func (f *testFleet) totalRuns() int {
	n := 0
	for _, runs := range f.runs {
		n += len(runs)
	}
	return n
}

// arrive submits a job that is on time if it starts within 0.9 s, and returns its deadline.
func (f *testFleet) arrive(id string, tasks int, cores int64) time.Time {
	f.s.Submit(f.newJob(id, fleet.Step{Count: tasks, EstimateMillis: 500, Need: fleet.Resources{MilliCPU: 1000 * cores}}), f.now)
	return f.now.Add(1400 * time.Millisecond)
}

// TestPreemption_LateWorkGivesWay plays arrivals that can be on time beside a late backlog
// that holds the whole pool: they must be on time, and the backlog must lose nothing but
// the time of its stops.
func TestPreemption_LateWorkGivesWay(t *testing.T) {
	onTime := func(on bool) (n int, f *testFleet) {
		f = newCrowdedFleet(t, on, fleet.Step{Checkpointing: true})
		deadlines := map[string]time.Time{}
		for i := range 20 {
			id := jobID(1000 + i)
			deadlines[id] = f.arrive(id, 4, 1)
			f.advance(100 * time.Millisecond)
			for id, deadline := range deadlines {
				if f.s.jobs[id].finished && !f.now.After(deadline) {
					n++
					delete(deadlines, id)
				}
			}
		}
		return n, f
	}
	before, _ := onTime(false)
	after, f := onTime(true)
	t.Logf("of 20 jobs %d on time before, %d after, %d stops", before, after, f.events["task.preempted"])
	require.Less(t, before, 4, "the load does not show the fault")
	require.Greater(t, after, 6)
	start := f.now
	f.advance(12 * time.Second)
	for id, n := range f.attempts {
		require.LessOrEqual(t, n, 1+maxStopsForOthers, "%s is stopped too often", id)
		require.Zero(t, f.s.findTask(id).failures, "a stop counts as a failure")
	}
	for i := range 2 * crowdedVMs * crowdedCores {
		require.True(t, f.s.jobs[jobID(i)].finished, "work that gave way has not ended %v later", f.now.Sub(start))
	}
}

// TestPreemption_StopsWhatIsNeeded stops as many tasks as one step needs, on the workers
// that it gets, and keeps the room for it.
func TestPreemption_StopsWhatIsNeeded(t *testing.T) {
	f := newCrowdedFleet(t, true, fleet.Step{Checkpointing: true})
	f.arrive("aaaaaaaaaaaaaaaa", 2, crowdedCores/2)
	f.advance(50 * time.Millisecond)
	require.Equal(t, crowdedCores, f.events["task.preempted"])
	f.advance(150 * time.Millisecond)
	require.Equal(t, 2, total(f.running("aaaaaaaaaaaaaaaa")), "others have taken the room that was freed for it")
	require.Equal(t, crowdedCores, f.events["task.preempted"])
}

// TestPreemption_RoomIsKept stops the runs of one worker for a task that needs all of it,
// with stops that take their time: a smaller task must not take what is free first, and
// the room is given up if the stops have no effect.
func TestPreemption_RoomIsKept(t *testing.T) {
	f := newCrowdedFleet(t, true, fleet.Step{Checkpointing: true})
	f.arrive("aaaaaaaaaaaaaaaa", 1, crowdedCores)
	f.s.Place(f.now.Add(preemptionInterval))
	batch := f.s.TakeBatch()
	require.Len(t, batch.Stops, crowdedCores)
	id := batch.Stops[0].Endpoint.WorkerID
	for _, stop := range batch.Stops[:1] {
		require.Equal(t, id, stop.Endpoint.WorkerID)
		f.finishRun(id, stop.Task, fleet.RunStopped)
		f.s.HandleStopResponse(&stop, nil, f.now)
	}
	f.advance(100 * time.Millisecond)
	require.Equal(t, int64(1000), f.s.workers[id].free().MilliCPU, "a smaller task has taken the room")
	f.s.Cancel("aaaaaaaaaaaaaaaa", f.now)
	f.advance(100 * time.Millisecond)
	require.Zero(t, f.s.workers[id].free().MilliCPU, "room is kept for a job that has ended")
}

// TestPreemption_Never stops nothing that it would lose, that has a right to go on, or
// that a stop does not help.
func TestPreemption_Never(t *testing.T) {
	for name, c := range map[string]struct {
		late   fleet.Step
		change func(f *testFleet)
	}{
		"no checkpoints":        {late: fleet.Step{}},
		"gang":                  {late: fleet.Step{Checkpointing: true, Gang: true}},
		"copies":                {late: fleet.Step{Checkpointing: true, Speculative: true}},
		"a new leader":          {late: fleet.Step{Checkpointing: true}, change: func(f *testFleet) { f.s.tookOverAt = f.now }},
		"a stop takes too long": {late: fleet.Step{Checkpointing: true}, change: func(f *testFleet) { f.s.cfg.MaxStopTime = time.Second }},
		"stopped often": {late: fleet.Step{Checkpointing: true}, change: func(f *testFleet) {
			for _, w := range f.s.workers {
				for _, t := range w.tasks {
					t.stopsForOthers = maxStopsForOthers
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrowdedFleet(t, true, c.late)
			if c.change != nil {
				c.change(f)
			}
			f.arrive("aaaaaaaaaaaaaaaa", 4, 1)
			f.advance(600 * time.Millisecond)
			require.Zero(t, f.events["task.preempted"])
		})
	}
	f := newCrowdedFleet(t, true, fleet.Step{Checkpointing: true})
	f.arrive("aaaaaaaaaaaaaaaa", crowdedVMs*crowdedCores+1, 1)
	f.advance(600 * time.Millisecond)
	require.Zero(t, f.events["task.preempted"], "work is stopped for a step that is late nevertheless")
}

// TestPreemption_Priority lets a task of a less urgent queue that is on time give way to
// urgent work if it stays on time, and never the other way round.
func TestPreemption_Priority(t *testing.T) {
	for _, urgent := range []bool{true, false} {
		f := newTestFleet(t)
		f.s.cfg.Policies.Preemption = true
		f.s.cfg.MaxStopTime, f.s.cfg.RestoreTime = 400*time.Millisecond, 100*time.Millisecond
		m := testManifest()
		m.Queues[1].Pool = testPool
		m.Queues[0].Priority, m.Queues[1].Priority = 1, 0
		if !urgent {
			m.Queues[0].Priority, m.Queues[1].Priority = 0, 1
		}
		f.s.SetManifest(m, f.now)
		f.addWorker("w-1", testPool, 2)
		f.advance(3 * time.Second)
		f.s.Submit(f.newJob("long", fleet.Step{Count: 2, EstimateMillis: 4000, Checkpointing: true}), f.now)
		f.advance(300 * time.Millisecond)
		job := f.newJob("short", fleet.Step{EstimateMillis: 500})
		job.Queue = "books"
		f.s.Submit(job, f.now)
		f.advance(time.Second)
		stopped := 0
		if urgent {
			stopped = 1
		}
		require.Equal(t, stopped, f.events["task.preempted"], "urgent: %v", urgent)
	}
}

// TestPreemption_TeamBound stops at most half of what one team runs within the window,
// and spreads the stops over the teams by their weights.
func TestPreemption_TeamBound(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 64)
	f.advance(100 * time.Millisecond)
	for i := range 20 {
		job := f.newJob(jobID(i), fleet.Step{EstimateMillis: 4000, Checkpointing: true})
		job.Team = []string{"a", "b"}[i%2]
		f.s.Submit(job, f.now)
	}
	f.advance(200 * time.Millisecond)
	hits := map[string]int{}
	for i := range 20 {
		victim := f.s.findTask(taskOf(jobID(i), 0))
		if f.s.mayHitTeam(victim, 0, f.now) {
			hits[victim.step.occurrence.job.team.name]++
			f.s.countPreemption(victim, f.now)
			f.s.stopForOthers(victim, "task.preempted", "", f.now)
		}
	}
	require.Equal(t, map[string]int{"a": 5, "b": 5}, hits)
	victim := f.s.findTask(taskOf(jobID(0), 0))
	require.Positive(t, f.s.hitsOf(victim, f.now))
	require.Zero(t, f.s.hitsOf(victim, f.now.Add(teamHitWindow+time.Millisecond)))
}
