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
	// largestFree bounds the free CPU of each worker, in millicores: a full pool is
	// not searched once more for each of many waiting steps.
	largestFree int64
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
			out[w.info.Pool] = p
		}
		p.workers = append(p.workers, w)
		p.largestFree = max(p.largestFree, w.free().MilliCPU)
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
