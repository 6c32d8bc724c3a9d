package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// HandlePollFailure handles a poll of the endpoint that got no usable response.
func (s *Scheduler) HandlePollFailure(to fleet.Endpoint, err error, now time.Time) {
	w, known := s.workers[to.WorkerID]
	if !known {
		return
	}
	switch provider.CodeOf(err) {
	case provider.CodeFenced:
		s.handleFenced(to)
	case provider.CodeWrongIncarnation:
		s.handleWrongIncarnation(to, now)
	default:
		w.missedPolls++
		if w.missedPolls == 1 {
			s.emit(Event{Kind: "worker.unreachable", ID: to.WorkerID, Reason: err.Error()})
		}
	}
}

// HandleStatus applies the status from a poll sent at the time sent.
func (s *Scheduler) HandleStatus(id string, status *fleet.WorkerStatus, sent, now time.Time) {
	w, known := s.workers[id]
	if !known || w.ended {
		return
	}
	if status.StartedAtMillis != 0 && w.info.StartedAtMillis != 0 && status.StartedAtMillis != w.info.StartedAtMillis {
		if sent.Before(w.newestPollSent) {
			return // A newer poll has shown this incarnation.
		}
		if status.StartedAtMillis < w.info.StartedAtMillis && !w.isReplaced(sent) {
			return // A response of an earlier incarnation.
		}
		if status.StartedAtMillis < w.info.StartedAtMillis && !w.claimedAt.IsZero() {
			s.refute(w, fmt.Sprintf("a status shows incarnation %d", status.StartedAtMillis))
		}
		shown := w.info
		shown.StartedAtMillis = status.StartedAtMillis
		w = s.supersede(w, shown, now)
		w.recordOutdated = true
	}
	w.claimedAt = time.Time{}
	if w.info.StartedAtMillis == 0 {
		info := w.info
		info.StartedAtMillis = status.StartedAtMillis
		s.updateToken(w, info, now)
		w.info = info
	}
	if w.missedPolls > 0 {
		s.emit(Event{Kind: "worker.reachable", ID: id})
	}
	w.missedPolls = 0
	w.clockMillis, w.clockAt = status.ClockMillis, now
	w.lastPollAt = now
	w.lease.answeredPoll(sent, now, status.ClockMillis)
	s.reconcileActiveRuns(w, status, sent, now)
	s.applyFinishedRuns(w, status, now)
	s.requeueMissingRuns(w, status, sent, now)
	w.releaseAbsentStrays(status, sent)
	w.newestPollSent = laterOf(w.newestPollSent, sent)
	w.polled = true
	s.stopStalledRuns(w, now)
	s.throttleBestEffort(w, now)
}

// reconcileActiveRuns confirms the assigned runs and stops the unassigned ones.
func (s *Scheduler) reconcileActiveRuns(w *worker, status *fleet.WorkerStatus, sent, now time.Time) {
	w.forgetUnassigned()
	for i := range status.Active {
		run := &status.Active[i]
		t, assigned := w.tasks[run.Task]
		if !assigned || t.attempt != run.Attempt || !t.mayHaveRun() {
			if t = s.handleUnassignedRun(w, run, sent, now); t == nil {
				continue
			}
		}
		t.shownOn = w.info.StartedAtMillis
		if t.phase == starting {
			s.confirmRun(t, now)
			t.confirmedProgress = run.Percent
		}
		if run.Percent > t.progress || t.progressAt.IsZero() {
			t.progressAt = now
		}
		if run.Percent >= 100 && t.runningSince.IsZero() {
			t.runningSince = now
		}
		t.progress, t.usage = run.Percent, run.Usage
		if !t.observed {
			if took, known := t.projectedRun(); known {
				s.observeRun(t, took)
			}
		}
		if t.step.def.Checkpointing && run.Checkpoint != "" {
			t.checkpoint = run.Checkpoint
		}
	}
}

// confirmRun records that the run exists.
func (s *Scheduler) confirmRun(t *task, now time.Time) {
	t.phase = running
	s.markBegan(t, now)
	// The progress of a run of an earlier leader is not known.
	t.startedByPreviousLeader = t.restored
	t.restored, t.inDoubt = false, false
	t.confirmedAt = now
	if t.progressAt.IsZero() {
		t.progressAt = now
	}
}

// StartSettled reports whether the start must not be repeated: its run is known to exist or
// to have ended, was given up, or would begin in a zone that is being evacuated or on a later
// incarnation.
func (s *Scheduler) StartSettled(request *fleet.StartRequest) bool {
	t := s.findTask(request.Task)
	if t == nil {
		return s.occurrenceFinished(request.Task)
	}
	return t.attempt != request.Attempt || t.phase != starting || t.worker.evacuated || t.worker.fencingToken != request.FencingToken
}

// HandleStartResponse applies the response to a start request.
func (s *Scheduler) HandleStartResponse(request *fleet.StartRequest, to fleet.Endpoint, err error, now time.Time) {
	t := s.findTask(request.Task)
	if t == nil || t.attempt != request.Attempt || t.worker == nil || t.worker.info.ID != to.WorkerID || !t.mayHaveRun() {
		return
	}
	w := t.worker
	if err == nil {
		if t.phase == starting {
			s.confirmRun(t, now)
		}
		return
	}
	code := provider.CodeOf(err)
	if code == provider.CodeFenced {
		s.handleFenced(to)
		if s.fenced {
			return
		}
	}
	if code == provider.CodeWrongIncarnation {
		s.handleWrongIncarnation(to, now)
	}
	if t.phase != starting {
		return
	}
	if provider.OutcomeOf(err) == provider.Unknown || code == provider.CodeSuperseded || code == provider.CodeFenced {
		s.markStartInDoubt(t, code, now)
		return
	}
	switch code {
	case provider.CodeUnavailable, provider.CodeUnreachable, provider.CodeTimeout, provider.CodeReplaced, provider.CodeInsufficientCapacity, provider.CodeInvalid:
		w.avoidUntil = laterOf(w.avoidUntil, now.Add(refusalBackoff))
	}
	s.requeue(t, now, "the start was refused: "+string(code))
}

// markStartInDoubt handles a start that may have been executed: a stop request makes
// the worker reject a start that arrives later, and ends a run that exists.
func (s *Scheduler) markStartInDoubt(t *task, code provider.Code, now time.Time) {
	s.emit(Event{Kind: "start.unsure", ID: t.id.String(), Worker: t.worker.info.ID, Attempt: t.attempt, Reason: string(code)})
	t.inDoubt = true
	if code == provider.CodeSuperseded {
		t.absentAfter = now
		return
	}
	t.worker.avoidUntil = laterOf(t.worker.avoidUntil, now.Add(refusalBackoff))
	s.requestStop(t, now)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleStopResponse applies the response to a stop.
func (s *Scheduler) HandleStopResponse(stop *StopRequest, err error, now time.Time) {
	switch provider.CodeOf(err) {
	case provider.CodeFenced:
		s.handleFenced(stop.Endpoint)
		return
	case provider.CodeWrongIncarnation:
		s.handleWrongIncarnation(stop.Endpoint, now)
		return
	}
	t := s.findTask(stop.Task)
	if err != nil || t == nil || t.attempt != stop.Attempt || t.phase != stopping || t.worker.endpoint() != stop.Endpoint {
		return
	}
	if t.absentAfter.IsZero() {
		t.absentAfter = now
	}
	s.batch.PollSoon = append(s.batch.PollSoon, stop.Endpoint.WorkerID)
}
