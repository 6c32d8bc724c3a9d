package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// relocate moves long-running tasks out of zones being evacuated: each step within its
// disruption budget, and only as many tasks as find room elsewhere in their pool, as a task
// that waits serves nobody. Tasks without a disruption budget stay until they end, and so
// do gangs, whose members cannot move alone.
func (s *Scheduler) relocate(now time.Time) {
	if len(s.evacuations) == 0 {
		return
	}
	s.reportEvacuations()
	var sources []*worker
	for _, w := range s.workers {
		if w.evacuated && s.hasRelocatable(w) {
			sources = append(sources, w)
		}
	}
	if len(sources) == 0 {
		return
	}
	rooms := s.relocationRooms(now)
	for _, w := range sources {
		if room := rooms[w.info.Pool]; room != nil {
			s.evictLongRunning(w, now, "its zone is being evacuated", func(t *task) bool { return relocatable(t) && room.reserve(t, now) })
		}
	}
}

func relocatable(t *task) bool {
	return t.step.def.LongRunning && t.step.def.HasDisruptionBudget && !t.step.def.Gang
}

func (s *Scheduler) hasRelocatable(w *worker) bool {
	for _, t := range w.tasks {
		if t.phase == running && relocatable(t) {
			return true
		}
	}
	return false
}

// relocationRoom is the room of one pool outside the zones being evacuated.
type relocationRoom struct {
	s       *Scheduler
	workers []*worker
	// reserved is what tasks that are about to be placed will use, tasks how many of a
	// step's they are.
	reserved map[*worker]fleet.Resources
	tasks    map[stepOnWorker]int
}

type stepOnWorker struct {
	step   *step
	worker *worker
}

// relocationRooms returns the room of each pool, less what its waiting and stopping
// long-running tasks will use.
func (s *Scheduler) relocationRooms(now time.Time) map[string]*relocationRoom {
	rooms := map[string]*relocationRoom{}
	for name, pool := range s.newRound(now) {
		rooms[name] = &relocationRoom{s: s, workers: pool.workers, reserved: map[*worker]fleet.Resources{}, tasks: map[stepOnWorker]int{}}
	}
	for st := range s.ready {
		if room := rooms[st.occurrence.job.queue.Pool]; room != nil && st.def.LongRunning {
			for _, t := range st.tasks {
				if t.phase == waiting {
					room.reserve(t, now)
				}
			}
		}
	}
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if room := rooms[t.step.occurrence.job.queue.Pool]; room != nil && t.step.def.LongRunning && t.phase == stopping && !t.step.occurrence.job.finished {
				room.reserve(t, now)
			}
		}
	}
	return rooms
}

// reserve reserves room for the task; false if there is none.
func (r *relocationRoom) reserve(t *task, now time.Time) bool {
	limit := t.step.def.MaxPerWorker
	for _, w := range r.workers {
		key := stepOnWorker{t.step, w}
		if !r.s.isFeasible(t, w, now) || !w.free().Minus(r.reserved[w]).Fits(t.resources()) {
			continue
		}
		if limit > 0 && t.step.tasksByWorker[w.info.ID]+r.tasks[key] >= limit {
			continue
		}
		r.reserved[w] = r.reserved[w].Plus(t.resources())
		r.tasks[key]++
		return true
	}
	return false
}
