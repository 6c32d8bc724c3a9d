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
	def := st.def
	constrained := def.LongRunning || def.Label != "" || def.MaxPerWorker > 0 || def.RackLocal || st.occurrence.job.queue.NeedsTicket
	if !constrained && p.largest.Fits(def.Need) {
		p.blocked = true
	}
}
