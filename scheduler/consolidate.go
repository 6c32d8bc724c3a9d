package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// consolidation chooses the VMs that are vacated for pools with a shortage by when they
// can be empty, and stops the checkpointing tasks that hold them.
//
// It answers the change from one queue's turn to the next: the pool whose turn is over
// keeps all its VMs nearly full, with tasks of which some always end late, and a VM that
// waits for its last task is free only when the next turn is half over. A stop takes a
// known time, and the task goes on where its pool has room, or once it has some if its
// job can only be late.
type consolidation struct {
	s   *Scheduler
	now time.Time
	// candidates are the VMs that may be vacated, the first to be empty first.
	candidates []vacateCandidate
	// slack is how long each occurrence may still be held up and be on time.
	slack map[*occurrence]time.Duration
	// demands is what each pool needs once its present runs have ended.
	demands map[string]*turnDemand
	// room is what stopped tasks that can be on time may take.
	room elsewhere
}

// maxVacateTime is the longest that a VM is expected to take to be empty when it begins to
// be vacated. Its free room is lost to its own pool meanwhile, and the move comes on top:
// the work that waits for it now is late by then.
const maxVacateTime = 2 * time.Second

// vacateCandidate is a VM with the time at which it can be empty.
type vacateCandidate struct {
	vm      *vm
	due     bool
	emptyAt time.Time
}

func (s *Scheduler) newConsolidation(short []poolShortage, now time.Time) *consolidation {
	c := &consolidation{s: s, now: now, slack: map[*occurrence]time.Duration{}, room: elsewhere{free: map[string]map[*worker]int64{}}}
	for name, p := range s.pools {
		if p.waiting > 0 {
			continue // What is free is for the work that waits.
		}
		c.room.free[name] = map[*worker]int64{}
		for _, v := range p.vms {
			if w := s.workerOf(v); w != nil && w.schedulable(now) {
				c.room.free[name][w] = max(0, w.free().MilliCPU)
			}
		}
	}
	if len(short) > 0 || len(s.vacatingVMs()) > 0 {
		c.demands = c.turnDemands()
	}
	return c
}

// rank lists the VMs that may be vacated, unless that has been done.
func (c *consolidation) rank() {
	if c.candidates != nil {
		return
	}
	c.candidates = []vacateCandidate{}
	for name, p := range c.s.pools {
		if c.s.isSpare(name) || c.surplus(name) == 0 {
			continue
		}
		for _, v := range p.vms {
			if c.s.canVacate(v, c.now) {
				emptyAt, _ := c.forecast(v)
				c.candidates = append(c.candidates, vacateCandidate{vm: v, due: c.s.workerOf(v).maintenanceDue, emptyAt: emptyAt})
			}
		}
	}
	c.candidates = slices.DeleteFunc(c.candidates, func(v vacateCandidate) bool { return v.emptyAt.After(c.now.Add(maxVacateTime)) })
	sort.Slice(c.candidates, func(i, k int) bool {
		a, b := c.candidates[i], c.candidates[k]
		switch {
		case a.due != b.due:
			return b.due
		case !a.emptyAt.Equal(b.emptyAt):
			return a.emptyAt.Before(b.emptyAt)
		}
		return a.vm.info.Name < b.vm.info.Name
	})
}

// next returns the next VM to vacate for the pool, or nil.
func (c *consolidation) next(to string, now time.Time) *vm {
	c.rank()
	for i := range c.candidates {
		v := c.candidates[i].vm
		if v == nil || v.info.Pool == to || c.surplus(v.info.Pool) == 0 {
			continue
		}
		c.candidates[i].vm = nil
		c.close(v)
		return v
	}
	return nil
}

// close takes the VM out of what its pool has for new tasks.
func (c *consolidation) close(v *vm) {
	w := c.s.workerOf(v)
	c.room.without(w)
	d := c.demands[v.info.Pool]
	if w.schedulable(c.now) {
		d.open -= v.info.Capacity.MilliCPU
		d.free -= max(0, w.free().MilliCPU)
	}
}

// forecast returns when the VM can be empty and which tasks must be stopped for that: all
// that would run on for longer than those that cannot be stopped.
func (c *consolidation) forecast(v *vm) (emptyAt time.Time, stops []*task) {
	emptyAt = c.now
	var candidates []*task
	for _, t := range c.s.workerOf(v).tasks {
		if c.mayStop(t) {
			candidates = append(candidates, t)
		} else {
			emptyAt = laterOf(emptyAt, c.s.endOf(t, c.now))
		}
	}
	stopped := c.now.Add(c.s.cfg.MaxStopTime)
	for _, t := range candidates {
		if c.s.expectedEnd(t, c.now).After(laterOf(emptyAt, stopped)) {
			stops = append(stops, t)
		}
	}
	if len(stops) > 0 {
		emptyAt = laterOf(emptyAt, stopped)
	}
	return emptyAt, stops
}

// mayStop reports whether the task may be stopped so that its VM becomes empty: its job
// can only be late, or it is on time nevertheless and other VMs of the pool have room.
func (c *consolidation) mayStop(t *task) bool {
	if !c.s.stoppable(t, c.now) {
		return false
	}
	slack := c.slackOf(t.step.occurrence)
	if slack < 0 {
		return true
	}
	def := t.step.def
	if def.DataRack != "" || def.MaxPerWorker > 0 || def.Need.GPU > 0 {
		return false // Room for its CPU does not tell that it may run there.
	}
	return slack > time.Duration(stopGainFactor*float64(c.s.costOfStop())) && c.room.has(t.pool, def.Need.MilliCPU)
}

// slackOf returns how long the occurrence may be held up and be on time; negative if it
// can only be late.
func (c *consolidation) slackOf(o *occurrence) time.Duration {
	slack, known := c.slack[o]
	if !known {
		slack = o.deadline().Sub(c.s.expectedFinish(o, c.now))
		c.slack[o] = slack
	}
	return slack
}

// stopHolders stops the tasks that hold the VMs that are being vacated. While a task that
// cannot be stopped holds a VM for longer than a stop takes, the others run on.
func (c *consolidation) stopHolders() {
	if !c.s.stabilized(c.now) {
		return
	}
	for _, v := range c.s.vacatingVMs() {
		w := c.s.workerOf(v)
		if w == nil || !w.polled || w.missedPolls > 0 || c.now.Sub(w.lastPollAt) >= statusFreshFor {
			continue
		}
		emptyAt, stops := c.forecast(v)
		if emptyAt.After(c.now.Add(c.s.cfg.MaxStopTime + holdTolerance)) {
			continue
		}
		var onTime []*task
		for _, t := range stops {
			if c.slackOf(t.step.occurrence) >= 0 {
				onTime = append(onTime, t)
			}
		}
		if !c.room.takeAll(onTime) {
			continue
		}
		for _, t := range stops {
			c.stop(t, v)
		}
	}
}

// holdTolerance is how much longer than a stop a VM may be held by tasks that cannot be
// stopped when the others on it are: the plan is made ten times a second.
const holdTolerance = 100 * time.Millisecond

// stop stops one task that holds the VM.
func (c *consolidation) stop(t *task, v *vm) {
	state := "it can only be late"
	if slack := c.slackOf(t.step.occurrence); slack >= 0 {
		state = fmt.Sprintf("it has %d ms of slack, and its pool has room", slack.Milliseconds())
	}
	left := c.s.expectedEnd(t, c.now).Sub(c.now)
	c.s.stopForOthers(t, "task.consolidated", fmt.Sprintf("its VM is wanted by %s; it would hold it for %d ms, a stop takes at most %d ms; %s",
		v.vacateFor, left.Milliseconds(), c.s.cfg.MaxStopTime.Milliseconds(), state), c.now)
}
