package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// newWorker returns a worker on which an earlier leader may have granted leases.
func (s *Scheduler) newWorker(info fleet.Worker) *worker {
	return &worker{
		info: info, tasks: map[fleet.TaskID]*task{}, strays: map[*task]*stray{},
		leaseStart: s.tookOverAt, leaseDuration: s.cfg.PreviousLeaderLease,
	}
}

// supersede replaces the incarnation by a later one that has appeared under its ID.
//
// Requests name the worker's ID only, so that a start may reach the incarnation after
// the one that the leader knew. A run is given up at once only if a status has shown it
// on an earlier incarnation. The other tasks are carried over: a poll of the later
// incarnation, or the response to a start in flight, decides.
func (s *Scheduler) supersede(w *worker, later fleet.Worker, now time.Time, source string) *worker {
	reason := fmt.Sprintf("incarnation %d has appeared %s", later.StartedAtMillis, source)
	next := s.newWorker(later)
	next.listed = w.listed
	next.cordoned, next.operationPending = w.cordoned, w.operationPending
	s.workers[later.ID] = next
	s.endWorker(w, next, now, reason, func(t *task) bool { return t.mayRunOn(later.StartedAtMillis) })
	return next
}

// endWorker ends an incarnation. It carries the tasks that may run on a later one over to
// next, with the bound of their leases, and requeues the others.
func (s *Scheduler) endWorker(w, next *worker, now time.Time, reason string, mayRun func(*task) bool) {
	w.ended = true
	w.releaseStrays()
	next.leaseStart, next.leaseDuration = w.leaseStart, w.leaseDuration
	for _, t := range w.tasks {
		if mayRun(t) {
			s.carryOver(t, next, now)
			continue
		}
		s.giveUp(t, now, reason)
	}
	s.emit(Event{Kind: "worker.over", ID: w.info.ID, Reason: reason})
}

// mayRunOn reports whether a run of the task may exist on the worker's incarnation with
// the start time or on a later one. No start has been requested of a persisting task.
func (t *task) mayRunOn(startedAtMillis int64) bool {
	return t.mayHaveRun() && (t.shownOn == 0 || t.shownOn >= startedAtMillis)
}

// removeWorker ends an incarnation, and what was sent to it: its runs no longer exist.
// A restored run may be on a later incarnation, which is not known yet: it is kept on an
// unlisted worker.
func (s *Scheduler) removeWorker(w *worker, now time.Time, reason string) {
	next := s.newWorker(fleet.Worker{ID: w.info.ID})
	s.endWorker(w, next, now, reason, func(t *task) bool { return t.restoredAfter(w.info.StartedAtMillis) })
	s.endedIncarnations[w.info.ID] = max(s.endedIncarnations[w.info.ID], w.info.StartedAtMillis)
	delete(s.workers, w.info.ID)
	if len(next.tasks) > 0 {
		s.workers[w.info.ID] = next
	}
}

// restoredAfter reports whether the task's run may be on a later incarnation than the
// one with the start time, as its stored assignment tells.
func (t *task) restoredAfter(startedAtMillis int64) bool {
	return t.restored && t.shownOn == 0 && (t.restoredOn == 0 || t.restoredOn > startedAtMillis)
}

// EndIncarnation records that the worker's process is known to have ended.
func (s *Scheduler) EndIncarnation(id string, now time.Time, reason string) {
	if w, known := s.workers[id]; known {
		s.removeWorker(w, now, reason)
	}
}

// carryOver assigns the task to the worker's next incarnation. A stop that an earlier
// incarnation has answered does not keep the next one from executing a delayed start.
func (s *Scheduler) carryOver(t *task, next *worker, now time.Time) {
	s.emit(Event{Kind: "run.carried_over", ID: t.id.String(), Worker: next.info.ID, Attempt: t.attempt, Reason: s.evidence(t, now)})
	s.releaseResources(t)
	s.reserveResources(t, next)
	if t.phase == stopping || t.inDoubt {
		t.absentAfter = time.Time{}
		s.requestStop(t, now)
	}
}

// handleWrongIncarnation handles a response of another worker at the endpoint: the
// incarnation that was called has ended. One that is known at another address, or that
// has appeared since the call, is not affected.
func (s *Scheduler) handleWrongIncarnation(to fleet.Endpoint, now time.Time) {
	if w, known := s.workers[to.WorkerID]; known && w.endpoint() == to {
		s.removeWorker(w, now, "another worker responds at its address")
	}
}
