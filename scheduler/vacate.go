package scheduler

import (
	"sort"
	"time"
)

// vacate empties VMs of pools with a surplus for pools whose shortage no empty VM can
// meet: the VMs get no new tasks, and are moved once their last task has ended.
//
// It answers the change from one queue's turn to the next while no VM is spare. The
// last queue's tasks are spread over all VMs, and its late work would fill every gap:
// VMs become empty by themselves only seconds later, when the next turn is nearly over.
func (s *Scheduler) vacate(now time.Time) {
	short := s.unmetShortages()
	next := s.vacatable
	if s.cfg.Policies.Consolidation {
		c := s.newConsolidation(short, now)
		next = c.next
		c.releaseUnwanted(short)
		defer c.stopHolders()
	} else {
		s.releaseVacating(short)
	}
	for _, need := range short {
		for range need.count {
			v := next(need.pool, now)
			if v == nil {
				break
			}
			s.startVacating(v, need.pool, now)
		}
	}
}

// poolShortage is a pool's need of VMs beyond those that are empty elsewhere.
type poolShortage struct {
	pool  string
	count int
}

// unmetShortages returns the shortages that remain, the one to be met first in front.
func (s *Scheduler) unmetShortages() []poolShortage {
	var out []poolShortage
	for name, p := range s.pools {
		if _, known := s.manifest.Pools[name]; known && !s.isSpare(name) {
			if n := p.shortage(); n > 0 {
				out = append(out, poolShortage{pool: name, count: n})
			}
		}
	}
	sort.Slice(out, func(i, k int) bool {
		return s.pools[out[i].pool].servedBefore(s.pools[out[k].pool])
	})
	return out
}

// releaseVacating lets VMs take tasks again that are vacated for a pool which needs
// them no longer, or in a pool which is short itself, and counts the others as met
// shortages.
func (s *Scheduler) releaseVacating(short []poolShortage) {
	needs := make(map[string]*poolShortage, len(short))
	for i := range short {
		needs[short[i].pool] = &short[i]
	}
	for _, v := range s.vms {
		if v.vacateFor == "" || v.operation != nil {
			continue
		}
		need, wanted := needs[v.vacateFor]
		_, ownShortage := needs[v.info.Pool]
		if !wanted || ownShortage || s.evacuatedVM(v) || need.count == 0 {
			s.undrain(v)
			continue
		}
		need.count--
	}
}

// vacatable returns the VM of a pool with a surplus that will be empty soonest, or nil.
func (s *Scheduler) vacatable(to string, now time.Time) *vm {
	var best *vm
	for name, p := range s.pools {
		if name == to || s.isSpare(name) || p.surplusOnTime() == 0 {
			continue
		}
		for _, v := range p.vms {
			if s.canVacate(v, now) && (best == nil || s.vacatesBefore(v, best)) {
				best = v
			}
		}
	}
	return best
}

// canVacate reports whether the VM has only tasks that end by themselves, and nothing
// else is planned for it. VMs that are due for maintenance are left to their wave once
// it ends soon.
func (s *Scheduler) canVacate(v *vm, now time.Time) bool {
	w := s.workerOf(v)
	if w == nil || len(w.tasks) == 0 || !w.polled || w.missedPolls > 0 || w.info.Draining || w.maintenanceUrgent || w.evacuated {
		return false
	}
	return v.drainFor == VMNoOperation && s.acceptsOperation(v, now) && s.longRunningCount(v) == 0
}

// vacatesBefore reports whether a is the better one to vacate: one that is not due for
// maintenance, then one that will be empty sooner. Both have workers.
func (s *Scheduler) vacatesBefore(a, b *vm) bool {
	wa, wb := s.workerOf(a), s.workerOf(b)
	if wa.maintenanceDue != wb.maintenanceDue {
		return wb.maintenanceDue
	}
	if wa.used.MilliCPU != wb.used.MilliCPU {
		return wa.used.MilliCPU < wb.used.MilliCPU
	}
	return a.info.Name < b.info.Name
}

// startVacating keeps new tasks off the VM and updates the counts of its pool.
func (s *Scheduler) startVacating(v *vm, pool string, now time.Time) {
	p := s.pools[v.info.Pool]
	p.capacity -= v.info.Capacity.MilliCPU
	p.draining++
	if w := s.workerOf(v); w != nil {
		p.capacity += w.used.MilliCPU
	}
	s.drain(v, VMMove, now)
	v.vacateFor, v.wantedAt = pool, now
	s.emit(Event{Kind: "vm.vacate", ID: v.info.Name, Reason: pool, Worker: v.info.WorkerID})
}

// vacated returns an empty VM that has been vacated for the pool, or nil.
func (s *Scheduler) vacated(pool string, now time.Time) *vm {
	for _, v := range s.vms {
		if v.vacateFor != pool || v.emptySince.IsZero() || s.evacuatedVM(v) || !s.acceptsOperation(v, now) {
			continue
		}
		if w := s.workerOf(v); w != nil && (w.info.Draining || !w.polled || w.missedPolls > 0) {
			continue
		}
		return v
	}
	return nil
}

// surplusOnTime returns how many more VMs the pool could do without if work that can
// only be late waited.
func (p *poolState) surplusOnTime() int {
	if p.vmCapacity == 0 {
		return 0
	}
	demand := max(p.running-p.runningLate, p.arriving) + p.waiting
	if p.limited {
		demand = min(demand, p.entitled)
	}
	excess := (p.capacity - demand) / p.vmCapacity
	return max(0, min(int(excess), len(p.vms)+p.incoming-p.draining-max(minPoolVMs, p.minSeparateVMs)))
}
