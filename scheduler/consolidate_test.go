package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// turnChange is a change of turns: the desk pool has all VMs, nearly full of tasks that
// are spread over them, and a backlog that can only be late; then the books queue asks for
// most of the fleet.
type turnChange struct {
	policies Policies
	stop     time.Duration
	restore  time.Duration
	// saves reports whether the job with the number saves checkpoints.
	saves func(i int) bool
	// pause is how long after the end of the turn the next one begins.
	pause time.Duration
	// moving holds the VMs that are on their way.
	moving map[string]movingVM
}

type movingVM struct {
	info  fleet.VM
	until time.Time
}

// turnResult tells how the change went.
type turnResult struct {
	// halfMovedAfter is how long after the surge began half of the VMs that may move had
	// their move requested; zero for never.
	halfMovedAfter time.Duration
	moves          int
	booksOnTime    float64
	stops          int
}

const (
	turnVMs = 20
	// surgeLength is for how long the next queue's turn is played.
	surgeLength = 4 * time.Second
)

// play runs the change for the length of the surge.
func (c turnChange) play(t *testing.T) turnResult {
	f := newTestFleet(t)
	f.s.cfg.Policies, f.s.cfg.MaxStopTime, f.s.cfg.RestoreTime, f.s.cfg.MoveTime = c.policies, c.stop, c.restore, time.Second
	c.moving = map[string]movingVM{}
	for i := range turnVMs {
		f.addVM(fmt.Sprintf("d%02d", i), testPool, 8)
	}
	for i := range minPoolVMs {
		f.addVM(fmt.Sprintf("o%02d", i), otherPool, 8)
	}
	f.advance(3 * time.Second) // Nobody stops runs just after a takeover.
	c.playTurn(f)
	var out turnResult
	var jobs []*fleet.Submission
	start := f.now
	for f.now.Sub(start) < surgeLength {
		for range 2 {
			job := f.newJob(fmt.Sprintf("b%015x", len(jobs)), fleet.Step{Count: 4, EstimateMillis: 800})
			job.Queue = "books"
			jobs = append(jobs, job)
			f.s.Submit(job, f.now)
		}
		out.moves += c.advance(f, 100*time.Millisecond)
		if out.halfMovedAfter == 0 && out.moves >= (turnVMs-minPoolVMs)/2 {
			out.halfMovedAfter = f.now.Sub(start)
		}
	}
	for _, job := range jobs {
		if j := f.s.jobs[job.ID]; j.finished {
			out.booksOnTime++
		}
	}
	out.booksOnTime /= float64(len(jobs))
	out.stops = f.events["task.consolidated"]
	for id, n := range f.attempts {
		require.LessOrEqual(t, n, 1+maxStopsForOthers, "%s is stopped too often", id)
		require.Zero(t, f.s.findTask(id).failures, "a stop counts as a failure")
	}
	return out
}

// playTurn lets the desk queue have its turn: four times what its pool holds, then nothing
// more. All that waits can only be late 2.5 s later.
func (c *turnChange) playTurn(f *testFleet) {
	n := 0
	for range 25 {
		for range 60 {
			f.s.Submit(f.newJob(jobID(n), fleet.Step{EstimateMillis: int64(300 + 200*(n%9)), Checkpointing: c.saves(n)}), f.now)
			n++
		}
		c.advance(f, 100*time.Millisecond)
	}
	c.advance(f, c.pause)
}

// mean plays the change some times: the order in which VMs are listed differs.
func (c turnChange) mean(t *testing.T) turnResult {
	const plays = 4
	var out turnResult
	for range plays {
		one := c.play(t)
		if one.halfMovedAfter == 0 {
			one.halfMovedAfter = surgeLength // It was never reached.
		}
		out.halfMovedAfter += one.halfMovedAfter / plays
		out.booksOnTime += one.booksOnTime / plays
		out.stops += one.stops
	}
	return out
}

// advance plays the fleet and the platform, which moves VMs, and returns the moves.
func (c *turnChange) advance(f *testFleet, d time.Duration) (moves int) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(50 * time.Millisecond)
		for name, m := range c.moving {
			if f.now.After(m.until) {
				delete(c.moving, name)
				f.addWorker("w-"+name, m.info.Pool, 8)
				w := f.workers["w-"+name]
				w.StartedAtMillis = f.now.UnixMilli()
				f.workers["w-"+name] = w
				f.s.SetWorkers(f.workers, f.now)
			}
		}
		list := f.vms()
		for _, m := range c.moving {
			list = append(list, m.info)
		}
		f.s.SetVMs(list, f.now, f.now)
		f.s.PlanVMs(f.now)
		for _, o := range f.s.TakeVMOperations() {
			id := "w-" + o.VM
			require.Empty(f.t, f.runs[id], "a move ends runs")
			info := fleet.VM{Name: o.VM, Pool: o.Pool, State: fleet.VMMoving, Capacity: f.workers[id].Capacity}
			c.moving[o.VM] = movingVM{info: info, until: f.now.Add(f.s.cfg.MoveTime)}
			delete(f.workers, id)
			f.s.HandleVMOperation(o, nil, f.now)
			if o.Pool == otherPool {
				moves++
			}
		}
		f.applyBatches()
	}
	return moves
}

func mostSave(i int) bool { return i%5 != 4 }

// TestConsolidation_TurnChanges replays the change of turns. The VMs must follow within a
// stop and a few plans, where waiting for their last tasks takes as long as the longest of
// these, and more of the next queue's work must be on time.
func TestConsolidation_TurnChanges(t *testing.T) {
	load := turnChange{stop: 400 * time.Millisecond, restore: 100 * time.Millisecond, saves: mostSave, pause: 2500 * time.Millisecond}
	before := load.mean(t)
	load.policies.Consolidation = true
	after := load.mean(t)
	t.Logf("before %+v, after %+v", before, after)
	require.Zero(t, before.stops)
	require.Positive(t, after.stops)
	require.Less(t, after.halfMovedAfter, 1400*time.Millisecond)
	require.Greater(t, before.halfMovedAfter, after.halfMovedAfter+300*time.Millisecond, "the load does not show the fault")
	require.Greater(t, after.booksOnTime, before.booksOnTime)
}

// TestConsolidation_StopGainsNothing plays the change of turns where a stop and a resume
// take as long as most of what is left of the tasks: they end by themselves.
func TestConsolidation_StopGainsNothing(t *testing.T) {
	load := turnChange{stop: 900 * time.Millisecond, restore: 600 * time.Millisecond, saves: mostSave, pause: 2500 * time.Millisecond, policies: Policies{Consolidation: true}}
	require.Zero(t, load.play(t).stops)
}

// TestConsolidation_KeepsOnTimeWork vacates VMs whose work is on time: it is stopped where
// the pool has whole places for it elsewhere, and none of it becomes late.
func TestConsolidation_KeepsOnTimeWork(t *testing.T) {
	for _, c := range []struct {
		cores, perVM int64
		estimates    []int64
		stops        bool
	}{{cores: 1, perVM: 4, estimates: []int64{3000, 400}, stops: true}, {cores: 3, perVM: 2, estimates: []int64{3000}}} {
		f := newTestFleet(t)
		f.s.cfg.Policies.Consolidation = true
		f.s.cfg.MaxStopTime, f.s.cfg.RestoreTime, f.s.cfg.MoveTime = 400*time.Millisecond, 100*time.Millisecond, time.Second
		for i := range turnVMs {
			f.addVM(fmt.Sprintf("d%02d", i), testPool, 8)
		}
		for i := range minPoolVMs {
			f.addVM(fmt.Sprintf("o%02d", i), otherPool, 8)
		}
		f.advance(3 * time.Second)
		var long []string
		for i := range turnVMs * int(c.perVM) {
			for _, estimate := range c.estimates {
				job := f.newJob(jobID(2*i+int(estimate/3000)), fleet.Step{EstimateMillis: estimate, Checkpointing: true, Need: fleet.Resources{MilliCPU: c.cores * 1000}})
				f.s.Submit(job, f.now)
				f.s.Place(f.now) // One after the other, so that each VM gets both.
				f.applyBatches()
				if estimate == 3000 {
					long = append(long, job.ID)
				}
			}
		}
		turn := turnChange{moving: map[string]movingVM{}}
		turn.advance(f, 900*time.Millisecond)
		f.submitBooks(turnVMs)
		turn.advance(f, 4400*time.Millisecond)
		for _, id := range long {
			require.True(t, f.s.jobs[id].finished, "%s is late", id)
		}
		require.Equal(t, c.stops, f.events["task.consolidated"] > 0, "%d stops, %d VMs vacated", f.events["task.consolidated"], f.events["vm.vacate"])
		require.Positive(t, f.events["vm.vacate"])
	}
}

// TestConsolidation_EndOfATurn begins the next turn just as the last one ends: its runs
// hold all VMs, but little comes after them, and what waits is about to be late. VMs must
// follow though nothing is stopped.
func TestConsolidation_EndOfATurn(t *testing.T) {
	load := turnChange{stop: 400 * time.Millisecond, restore: 100 * time.Millisecond, saves: func(int) bool { return false }, pause: 1200 * time.Millisecond}
	before := load.mean(t)
	load.policies.Consolidation = true
	after := load.mean(t)
	t.Logf("before %+v, after %+v", before, after)
	require.Greater(t, before.halfMovedAfter, after.halfMovedAfter)
}

// TestConsolidation_LongTasksAreLeft vacates no VM whose tasks take longer than the next
// turn lasts, and takes a VM over that was vacated for a pool which needs it no longer.
func TestConsolidation_LongTasksAreLeft(t *testing.T) {
	f := newTurnChange(t, 6)
	f.s.cfg.Policies.Consolidation = true
	names := func() (out []string) {
		for _, v := range f.s.vacatingVMs() {
			out = append(out, v.info.Name)
		}
		return out
	}
	for _, w := range f.s.workers {
		for _, held := range w.tasks {
			held.step.def.EstimateMillis = 60_000
			held.progress = 0
		}
	}
	f.submitBooks(12)
	f.s.PlanVMs(f.now)
	require.Empty(t, names())
	for _, w := range f.s.workers {
		for _, held := range w.tasks {
			held.step.def.EstimateMillis = 500
		}
	}
	f.s.PlanVMs(f.now)
	vacating := names()
	require.NotEmpty(t, vacating)
	c := f.s.newConsolidation(nil, f.now.Add(time.Millisecond))
	c.releaseUnwanted([]poolShortage{{pool: "third", count: 1}})
	redirected := 0
	for _, v := range f.s.vacatingVMs() {
		if v.vacateFor == "third" {
			redirected++
		}
	}
	require.Equal(t, 1, redirected)
	require.Equal(t, vacating, names(), "VMs are given back with the first dip of the demand")
	for _, w := range f.s.workers {
		w.maintenanceUrgent = true
	}
	c.releaseUnwanted([]poolShortage{{pool: "third", count: 1}})
	require.Empty(t, names(), "VMs that a wave needs now are held for a move")
}
