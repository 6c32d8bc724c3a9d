package scheduler

import (
	"sort"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// placeGang places all members at once, on one rack where that helps.
func (s *Scheduler) placeGang(st *step, pool *poolRound, now time.Time) {
	workers := pool.open
	if st.waiting < len(st.tasks)-st.done || st.waiting == 0 {
		return // Not all members of the last run have ended yet.
	}
	for _, t := range st.tasks {
		if t.strays > 0 {
			return
		}
	}
	total := fleet.Resources{}
	for range st.tasks {
		total = total.Plus(st.def.Need)
	}
	if !st.occurrence.job.hasTeamCapacityFor(total) {
		return
	}
	if st.def.RackLocal || st.def.DataRack != "" {
		for _, rack := range racksOf(workers, st.def.DataRack) {
			if s.placeGangOn(st, workersOfRack(workers, rack), pool, now) {
				return
			}
		}
		if st.def.RackLocal {
			return
		}
	}
	s.placeGangOn(st, workers, pool, now)
}

// placeGangOn places all members on the workers, or none.
func (s *Scheduler) placeGangOn(st *step, workers []*worker, pool *poolRound, now time.Time) bool {
	attempt, checkpoint := 0, ""
	for _, t := range st.tasks {
		if t.attempt > attempt {
			attempt = t.attempt
		}
		if t.checkpoint > checkpoint {
			checkpoint = t.checkpoint
		}
	}
	var placed []*task
	for _, t := range st.tasks {
		if t.phase != waiting {
			continue
		}
		w := s.chooseWorker(t, workers, pool, now)
		if w == nil {
			for _, undo := range placed {
				s.releaseResources(undo)
			}
			return false
		}
		s.reserveResources(t, w)
		placed = append(placed, t)
	}
	for _, t := range placed {
		w := t.worker
		s.releaseResources(t)
		t.attempt = attempt
		if st.def.Checkpointing {
			t.checkpoint = checkpoint
		}
		s.assign(t, w, now)
	}
	return true
}

// racksOf returns the racks of the workers, the preferred one first.
func racksOf(workers []*worker, preferred string) []string {
	seen := map[string]bool{}
	var out []string
	for _, w := range workers {
		if rack := w.info.Rack(); !seen[rack] {
			seen[rack] = true
			out = append(out, rack)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		if (out[i] == preferred) != (out[k] == preferred) {
			return out[i] == preferred
		}
		return out[i] < out[k]
	})
	return out
}

func workersOfRack(workers []*worker, rack string) []*worker {
	var out []*worker
	for _, w := range workers {
		if w.info.Rack() == rack {
			out = append(out, w)
		}
	}
	return out
}
