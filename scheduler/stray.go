package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// stray is a run of a task that the leader has not assigned to the worker. The task is
// not started before a later poll shows no such run, the worker's incarnation has ended or
// all its leases must have expired.
type stray struct {
	// shownAt is when the last poll that showed the run was sent.
	shownAt time.Time
	// stopRequestedAt is when the last stop request was issued.
	stopRequestedAt time.Time
}

// endedRun identifies a run that has ended. A worker refuses to start it again, but its next
// incarnation may execute a start that was delayed.
type endedRun struct {
	attempt     int
	workerID    string
	incarnation int64
}

func endedRunOn(w *worker, attempt int) endedRun {
	return endedRun{attempt: attempt, workerID: w.info.ID, incarnation: w.info.StartedAtMillis}
}

// handleUnassignedRun handles a run that the worker shows and that is not assigned to it.
// It returns the task if the run was adopted.
//
// A run whose end the worker has listed is not there: the status is older than that end. A
// poll that waits for ends is answered by one, while a later poll was answered before it, and
// responses overtake each other. A task that such a status made run again would count as
// available, and let another be stopped beyond the disruption budget.
func (s *Scheduler) handleUnassignedRun(w *worker, run *fleet.ActiveRun, sent, now time.Time) *task {
	t := s.findTask(run.Task)
	if t != nil && w.info.StartedAtMillis != 0 && t.ended == endedRunOn(w, run.Attempt) {
		return nil
	}
	current := t != nil && !sent.Before(w.newestPollSent)
	if current && t.canAdopt(run) {
		s.adoptRun(t, w, now)
		return t
	}
	w.countUnassigned(s.unassignedRun(w, run.Task))
	if !current || t.needsNoRun() || s.holdTask(t, w, sent, now) {
		s.stopUnassignedRun(w, run)
	}
	return nil
}

func (s *Scheduler) stopUnassignedRun(w *worker, run *fleet.ActiveRun) {
	s.batch.Stops = append(s.batch.Stops, StopRequest{Endpoint: w.endpoint(), Task: run.Task, Attempt: run.Attempt})
	s.emit(Event{Kind: "run.unexpected", ID: run.Task.String(), Worker: w.info.ID, Attempt: run.Attempt, Reason: "not assigned"})
}

// needsNoRun reports whether the task needs no more runs.
func (t *task) needsNoRun() bool { return t.phase == done || t.step.occurrence.job.finished }

// canAdopt reports whether the run is the last one of a task that waits for the next. The
// members of a gang only run together.
func (t *task) canAdopt(run *fleet.ActiveRun) bool {
	return t.phase == waiting && t.attempt == run.Attempt && t.strays == 0 && !t.step.def.Gang && !t.needsNoRun()
}

// adoptRun assigns a waiting task to the worker that has its run.
func (s *Scheduler) adoptRun(t *task, w *worker, now time.Time) {
	s.emit(Event{Kind: "run.adopted", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: "a run that was given up exists"})
	t.step.waiting--
	s.reserveResources(t, w)
	s.confirmRun(t, now)
	t.startedByPreviousLeader = true
	t.onReplaced = w.lease.hasForeign(now)
	s.recordAssignment(t)
	s.updateReady(t.step)
}

// holdTask holds the task back while the worker has a run of it. It reports whether the
// run is to be stopped: a request takes its time to have an effect.
func (s *Scheduler) holdTask(t *task, w *worker, sent, now time.Time) (stop bool) {
	known, held := w.strays[t]
	if !held {
		known = &stray{}
		w.strays[t] = known
		t.strays++
		s.emit(Event{Kind: "task.held", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: "a run that is not assigned exists"})
	}
	if t.phase == persisting {
		s.requeue(t, now, "an earlier run still exists")
	}
	known.shownAt = sent
	if held && now.Sub(known.stopRequestedAt) <= stopRetryDelay+s.cfg.MaxStopTime {
		return false
	}
	known.stopRequestedAt = now
	return true
}

// releaseAbsentStrays releases the tasks whose runs the status no longer shows.
func (w *worker) releaseAbsentStrays(status *fleet.WorkerStatus, sent time.Time) {
	if status.MoreFinished {
		return
	}
	for t, run := range w.strays {
		if run.shownAt.Before(sent) {
			w.releaseStray(t)
		}
	}
}

// releaseStrays releases all tasks that runs on the worker hold back.
func (w *worker) releaseStrays() {
	for t := range w.strays {
		w.releaseStray(t)
	}
}

func (w *worker) releaseStray(t *task) {
	delete(w.strays, t)
	t.strays--
}

// hasRuns reports whether runs may exist on the worker.
func (w *worker) hasRuns() bool {
	return len(w.tasks) > 0 || len(w.strays) > 0 || len(w.unassignedByTeam) > 0
}
