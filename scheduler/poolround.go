package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// poolRound is one pool in one round of placement.
type poolRound struct {
	// workers may get new tasks.
	workers []*worker
	shares  poolShares
	// incoming is the CPU of VMs that are on their way to the pool, in millicores.
	incoming int64
	// pressure is the demand that can be on time as a multiple of the capacity.
	pressure float64
	// largestFree bounds the free CPU of each worker, in millicores: a full pool is
	// not searched once more for each of many waiting steps.
	largestFree int64
	// largest is the most that a worker holds when it is empty, by each resource.
	largest fleet.Resources
	// used is what the tasks on the workers use, running is their number.
	used    fleet.Resources
	running int
	// waiting is what all waiting tasks need: its shape tells which leftover is of use.
	waiting fleet.Resources
	// steps counts the steps with tasks that wait; smallest is the least that any of their
	// tasks needs of each resource, and open holds the workers with room for that: of a
	// full pool, few are searched.
	steps    int
	smallest fleet.Resources
	open     []*worker
	// reservations counts the pool's reservations, reservationSearches the searches for
	// new ones in this round.
	reservations, reservationSearches int
	// failed holds the searches that found no worker.
	failed []failedSearch
	// blocked is set once a step of a team within its share finds no room.
	blocked bool
}

// newRound returns the pools with workers that may get new tasks.
func (s *Scheduler) newRound(now time.Time) map[string]*poolRound {
	out := map[string]*poolRound{}
	for _, w := range s.workers {
		if !w.schedulable(now) {
			continue
		}
		p, known := out[w.info.Pool]
		if !known {
			p = &poolRound{}
			if planned, known := s.pools[w.info.Pool]; known {
				p.incoming = int64(planned.incoming) * planned.vmCapacity
			}
			out[w.info.Pool] = p
		}
		p.workers = append(p.workers, w)
		p.used = p.used.Plus(w.used)
		p.running += len(w.tasks)
		p.largestFree = max(p.largestFree, w.free().MilliCPU)
		capacity := w.info.Capacity
		p.largest = fleet.Resources{
			MilliCPU: max(p.largest.MilliCPU, capacity.MilliCPU),
			MemMB:    max(p.largest.MemMB, capacity.MemMB),
			GPU:      max(p.largest.GPU, capacity.GPU),
		}
	}
	return out
}

// mayFit reports whether a worker may have room for the need.
func (p *poolRound) mayFit(need fleet.Resources) bool { return need.MilliCPU <= p.largestFree }

// updateLargestFree follows a search that found no worker.
func (p *poolRound) updateLargestFree() {
	p.largestFree = 0
	for _, w := range p.workers {
		p.largestFree = max(p.largestFree, w.free().MilliCPU)
	}
}

// recordNoRoom marks the pool as blocked by the step, unless it waits for more than room:
// one that no worker can hold, or that only some workers may run, holds nobody up.
func (p *poolRound) recordNoRoom(st *step) {
	if !waitsForMoreThanRoom(st) && p.largest.Fits(st.def.Need) {
		p.blocked = true
	}
}

// waitsForMoreThanRoom reports whether only some workers may run the step's tasks.
func waitsForMoreThanRoom(st *step) bool {
	def := st.def
	return def.LongRunning || def.Label != "" || def.MaxPerWorker > 0 || def.RackLocal || st.occurrence.job.queue.NeedsTicket
}

// addWaiting counts the step's waiting tasks in what waits.
func (p *poolRound) addWaiting(st *step) {
	need := st.tasks[0].resources()
	if p.steps++; p.steps == 1 {
		p.smallest = need
	}
	p.smallest = fleet.Resources{MilliCPU: min(p.smallest.MilliCPU, need.MilliCPU), MemMB: min(p.smallest.MemMB, need.MemMB), GPU: min(p.smallest.GPU, need.GPU)}
	if st.def.LongRunning || st.def.BestEffort {
		return
	}
	n := int64(st.waiting)
	p.waiting = p.waiting.Plus(fleet.Resources{MilliCPU: n * st.def.Need.MilliCPU, MemMB: n * st.def.Need.MemMB})
}

// findOpen finds the workers that have room for the smallest needs.
func (p *poolRound) findOpen() {
	p.open = make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		if w.free().Fits(p.smallest) {
			p.open = append(p.open, w)
		}
	}
}
