package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// newWorker returns a worker of which only the record and its history are known.
func (s *Scheduler) newWorker(info fleet.Worker, now time.Time) *worker {
	h := s.historyOf(info, now)
	return &worker{
		info: info, fencingToken: h.token, lease: &h.lease, tasks: map[fleet.TaskID]*task{}, strays: map[*task]*stray{},
		evacuated: s.isEvacuated(info.AvailabilityZone),
	}
}

// supersede replaces the incarnation by a later one that a status has shown under its ID.
//
// Requests name the worker's ID only, so that a start may reach the incarnation after
// the one that the leader knew. A run is given up at once only if a status has shown it
// on an earlier incarnation. The other tasks are carried over, and stored as such: a poll of
// the later incarnation, or the response to a start in flight, decides.
func (s *Scheduler) supersede(w *worker, later fleet.Worker, now time.Time) *worker {
	reason := fmt.Sprintf("incarnation %d has appeared in a status", later.StartedAtMillis)
	next := s.replace(w, later, now, reason, func(t *task) bool { return t.mayRunOn(later.StartedAtMillis) })
	for _, t := range next.tasks {
		t.onReplaced = true
		s.recordAssignment(t)
	}
	return next
}

// claim replaces the incarnation by the one that the list names. A single record proves no
// restart, as other writers may have left it: all runs, strays included, are carried over until a
// status shows which incarnation there is, or until their leases must have expired. The list's
// next record may take the claim back, so that it is not stored.
func (s *Scheduler) claim(w *worker, listed fleet.Worker, now time.Time) *worker {
	reason := fmt.Sprintf("incarnation %d has appeared on the list", listed.StartedAtMillis)
	strays := w.strays
	w.strays = nil
	next := s.replace(w, listed, now, reason, (*task).mayHaveRun)
	next.strays, next.claimedAt = strays, now
	s.batch.PollSoon = append(s.batch.PollSoon, listed.ID)
	return next
}

// refute keeps the claimed incarnation out of use while the list names it.
func (s *Scheduler) refute(w *worker, reason string) {
	s.refutedIncarnations[w.info.ID] = w.info.StartedAtMillis
	s.emit(Event{Kind: "worker.record_refuted", ID: w.info.ID, Reason: fmt.Sprintf("the list names incarnation %d, %s", w.info.StartedAtMillis, reason)})
}

// isReplaced reports whether a status with an earlier start time, from a poll sent at the
// time, shows that the incarnation is not there: nothing has shown it since the poll was
// sent, and no incarnation answers polls after its end. The list has claimed it in error, or
// the worker's time of day went back before it restarted.
func (w *worker) isReplaced(sent time.Time) bool {
	if !w.claimedAt.IsZero() {
		return sent.After(w.claimedAt)
	}
	return !w.lastPollAt.IsZero() && sent.After(w.lastPollAt)
}

func (s *Scheduler) replace(w *worker, by fleet.Worker, now time.Time, reason string, mayRun func(*task) bool) *worker {
	next := s.newWorker(by, now)
	next.listed = w.listed
	next.cordoned, next.operationPending = w.cordoned, w.operationPending
	s.workers[by.ID] = next
	s.endWorker(w, next, now, reason, mayRun)
	return next
}

// endWorker ends an incarnation. It carries the tasks that may run on a later one over to
// next, and requeues the others.
func (s *Scheduler) endWorker(w, next *worker, now time.Time, reason string, mayRun func(*task) bool) {
	w.ended = true
	w.releaseStrays()
	w.forgetUnassigned()
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
// A run that may be on another incarnation is kept on an unlisted worker: one that was
// restored from an assignment to a later one, and one that was not known to be on an
// incarnation which only the list has named.
func (s *Scheduler) removeWorker(w *worker, now time.Time, reason string) {
	next := s.newWorker(fleet.Worker{ID: w.info.ID}, now)
	if w.claimedAt.IsZero() {
		s.endWorker(w, next, now, reason, func(t *task) bool { return t.restoredAfter(w.info.StartedAtMillis) })
		s.endedIncarnations[w.info.ID] = max(s.endedIncarnations[w.info.ID], w.info.StartedAtMillis)
	} else {
		next.strays, w.strays = w.strays, nil
		s.endWorker(w, next, now, reason, func(t *task) bool { return t.mayHaveRun() && !t.knownOn(w.info.StartedAtMillis) })
		s.refute(w, reason)
	}
	s.dropWorker(w.info.ID, now)
	if next.hasRuns() {
		s.workers[w.info.ID] = next
	}
}

// knownOn reports whether the task's run is known to be on the incarnation with the start
// time: a status has shown it there, or its stored assignment names it.
func (t *task) knownOn(startedAtMillis int64) bool {
	return t.shownOn == startedAtMillis || t.shownOn == 0 && t.restored && t.restoredOn == startedAtMillis
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
