package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// newWorker returns a worker on which an earlier leader may have granted leases.
func (s *Scheduler) newWorker(info fleet.Worker) *worker {
	return &worker{
		info: info, tasks: map[fleet.TaskID]*task{},
		leaseStart: s.tookOverAt, leaseDuration: s.cfg.PreviousLeaderLease,
	}
}

// supersede replaces the incarnation by a later one that has appeared under its ID.
//
// Requests name the worker's ID only, so that a start may reach the incarnation after
// the one that the leader knew. A run is given up at once only if a status has shown it
// on an earlier incarnation. The other tasks are carried over: a poll of the later
// incarnation, or the response to a start in flight, decides.
func (s *Scheduler) supersede(w *worker, later fleet.Worker, now time.Time, reason string) *worker {
	next := s.newWorker(later)
	next.listed = w.listed
	s.workers[later.ID] = next
	s.endWorker(w, next, now, reason)
	return next
}

// endWorker ends an incarnation. It requeues the tasks whose runs have ended with it,
// and carries the others over to next, with the bound of their leases.
func (s *Scheduler) endWorker(w, next *worker, now time.Time, reason string) {
	w.ended = true
	next.leaseStart, next.leaseDuration = w.leaseStart, w.leaseDuration
	for _, t := range w.tasks {
		if t.mayRunAfter(next.info.StartedAtMillis) {
			s.carryOver(t, next, now)
			continue
		}
		s.requeue(t, now, reason)
	}
	s.emit(Event{Kind: "worker.over", ID: w.info.ID, Reason: reason})
}

// mayRunAfter reports whether a run of the task may exist once the worker's incarnation
// with the start time has appeared. No start has been requested of a persisting task.
func (t *task) mayRunAfter(startedAtMillis int64) bool {
	return t.mayHaveRun() && (t.shownOn == 0 || t.shownOn >= startedAtMillis)
}

// carryOver assigns the task to the worker's next incarnation. A stop that an earlier
// incarnation has answered does not keep the next one from executing a delayed start.
func (s *Scheduler) carryOver(t *task, next *worker, now time.Time) {
	s.releaseResources(t)
	s.reserveResources(t, next)
	if t.phase == stopping || t.inDoubt {
		t.absentAfter = time.Time{}
		s.requestStop(t, now)
	}
}
