package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// SetWorkers replaces the list of workers by what the platform lists now.
func (s *Scheduler) SetWorkers(list map[string]fleet.Worker, now time.Time) {
	for id, info := range list {
		s.setWorker(id, info, now)
	}
	for id := range s.buried {
		if _, listed := list[id]; !listed {
			delete(s.buried, id)
		}
	}
	for id, w := range s.workers {
		if _, listed := list[id]; !listed {
			w.registered = false
			if len(w.tasks) == 0 {
				w.dead = true
				delete(s.workers, id)
			}
		}
	}
}

func (s *Scheduler) setWorker(id string, info fleet.Worker, now time.Time) {
	w, known := s.workers[id]
	if known && w.info.StartedAtMillis != 0 && info.StartedAtMillis != 0 && info.StartedAtMillis < w.info.StartedAtMillis {
		return // A look has shown a later life already.
	}
	if born, over := s.buried[id]; over && !known && info.StartedAtMillis != 0 && info.StartedAtMillis <= born {
		return // The list still holds a life that is over, for some heartbeats.
	}
	if known && w.info.StartedAtMillis != 0 && info.StartedAtMillis > w.info.StartedAtMillis {
		s.bury(w, now, "the worker has started again")
		known = false
	}
	if !known {
		w = &worker{tasks: map[fleet.TaskID]*task{}}
		w.leaseFrom, w.leaseFor = s.tookAt, s.cfg.PreviousLeaderLease
		s.workers[id] = w
		s.note(Event{Kind: "worker.listed", ID: id, Reason: info.Pool})
	}
	if w.info.Draining != info.Draining && known {
		s.note(Event{Kind: "worker.draining", ID: id, Reason: info.Pool})
	}
	w.info = info
	w.registered = true
}

// bury ends a life of a worker: nothing runs on it any more.
func (s *Scheduler) bury(w *worker, now time.Time, why string) {
	w.dead = true
	for _, t := range w.tasks {
		s.requeue(t, now, why)
	}
	if s.workers[w.info.ID] == w {
		delete(s.workers, w.info.ID)
		s.buried[w.info.ID] = max(s.buried[w.info.ID], w.info.StartedAtMillis)
	}
	s.note(Event{Kind: "worker.over", ID: w.info.ID, Reason: why})
}

// EndIncarnation tells that the worker's process is known to be over.
func (s *Scheduler) EndIncarnation(id string, now time.Time, why string) {
	if w, known := s.workers[id]; known {
		s.bury(w, now, why)
	}
}

// PollTarget is a worker to look at.
type PollTarget struct {
	Endpoint fleet.Endpoint
	// Pool is where the worker serves.
	Pool string
	// StartedAtMillis is the life that is meant.
	StartedAtMillis int64
	Busy            bool
}

// PollTargets returns the workers that must be looked at.
func (s *Scheduler) PollTargets() []PollTarget {
	out := make([]PollTarget, 0, len(s.workers))
	for _, w := range s.workers {
		if w.info.Address == "" {
			continue
		}
		out = append(out, PollTarget{Endpoint: w.endpoint(), Pool: w.info.Pool, StartedAtMillis: w.info.StartedAtMillis, Busy: len(w.tasks) > 0})
	}
	return out
}

// PreparePoll returns the order that goes with the next look at the worker. A
// worker that misses looks has its leases extended no more, so that what runs
// there may be started elsewhere.
//
// An owner that cannot prove that it still is one extends nothing, either.
func (s *Scheduler) PreparePoll(id string, now time.Time, authorized bool) (fleet.PollRequest, bool) {
	w, known := s.workers[id]
	if !known || w.dead {
		return fleet.PollRequest{}, false
	}
	order := fleet.PollRequest{FencingToken: s.cfg.FencingToken, RecordedThrough: w.recorded}
	if authorized && w.missed == 0 && !w.clockAt.IsZero() && len(w.tasks) > 0 {
		order.DeadlineMillis = w.clock(now) + s.cfg.LeaseDuration.Milliseconds()
		w.extendLease(now, s.cfg.LeaseDuration)
	}
	return order, true
}

// WorkerActivity reports whether the worker has runs, and whether ends wait to be stored.
func (s *Scheduler) WorkerActivity(id string) (busy, unstored bool) {
	w, known := s.workers[id]
	if !known {
		return false, false
	}
	return len(w.tasks) > 0, w.handled > w.recorded
}

// ExpectedChanges tells what a look at the worker may show soon: runs that end by
// themselves, and lasting tasks that have started and come to be at work.
func (s *Scheduler) ExpectedChanges(id string) (ends, starts bool) {
	w, known := s.workers[id]
	if !known {
		return false, false
	}
	for _, t := range w.tasks {
		switch {
		case !t.step.def.LongRunning:
			ends = true
		case t.mayRun() && t.percent < 100:
			starts = true
		}
	}
	return ends, starts
}
