package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// applyFinishedRuns applies the outcomes that have not been handled before.
func (s *Scheduler) applyFinishedRuns(w *worker, status *fleet.WorkerStatus, now time.Time) {
	for i := range status.Finished {
		finished := &status.Finished[i]
		if finished.Number <= w.lastHandledOutcome {
			continue
		}
		w.lastHandledOutcome = finished.Number
		t, assigned := w.tasks[finished.Task]
		if !assigned || t.attempt != finished.Attempt || t.phase == persisting {
			s.applyUnassignedOutcome(w, finished, now)
			continue
		}
		s.applyOutcome(t, finished, now)
	}
	if w.lastHandledOutcome > w.lastRecordedOutcome {
		if s.batch.handledOutcomes == nil {
			s.batch.handledOutcomes = map[*worker]int64{}
		}
		s.batch.handledOutcomes[w] = w.lastHandledOutcome
	}
	w.updateForgotten(status)
}

// updateForgotten notes which of the recorded outcomes the worker still returns.
func (w *worker) updateForgotten(status *fleet.WorkerStatus) {
	w.forgottenOutcome = w.lastRecordedOutcome
	for i := range status.Finished {
		w.forgottenOutcome = min(w.forgottenOutcome, status.Finished[i].Number-1)
	}
}

// outcomeToAcknowledge returns the outcome through which the next poll acknowledges; 0
// if the worker has forgotten all that are recorded, or may have restarted since its last
// status. A poll may reach a later incarnation under the same ID, whose numbers start anew:
// it must not make that one forget outcomes which nobody has handled.
func (w *worker) outcomeToAcknowledge() int64 {
	if w.forgottenOutcome >= w.lastRecordedOutcome || w.missedPolls > 0 {
		return 0
	}
	return w.lastRecordedOutcome
}

// applyUnassignedOutcome accepts the success of an abandoned run on a worker that is
// reachable again, so that completed work is not repeated where that can be avoided. Other
// outcomes of runs that are not assigned have no effect.
func (s *Scheduler) applyUnassignedOutcome(w *worker, finished *fleet.FinishedRun, now time.Time) {
	t := s.findTask(finished.Task)
	if reason := s.reasonToIgnore(t, finished); reason != "" {
		s.emit(Event{Kind: "outcome.ignored", ID: finished.Task.String(), Worker: w.info.ID, Attempt: finished.Attempt, Reason: finished.Outcome.String() + ": " + reason})
		return
	}
	if t.phase == waiting {
		t.step.waiting--
	}
	s.emit(Event{Kind: "task.done_late", ID: t.id.String(), Worker: w.info.ID, Attempt: finished.Attempt, Reason: "an abandoned run had succeeded"})
	s.completeTask(t, now)
	s.updateReady(t.step)
}

// reasonToIgnore returns why the outcome of a run that is not assigned has no effect, or
// "" for a success that completes the task.
func (s *Scheduler) reasonToIgnore(t *task, finished *fleet.FinishedRun) string {
	switch {
	case t == nil && s.occurrenceFinished(finished.Task):
		return "the occurrence is finished"
	case t == nil:
		return "the job is unknown"
	case t.step.occurrence.job.finished:
		return "the job is finished"
	case t.phase == done:
		return "the task is done"
	case t.mayHaveRun():
		return fmt.Sprintf("the task is %s with attempt %d on %s", t.phase, t.attempt, t.worker.info.ID)
	case finished.Outcome != fleet.RunDone:
		return fmt.Sprintf("the run was given up, the task is %s after attempt %d", t.phase, t.attempt)
	case t.step.def.LongRunning || t.step.def.Gang:
		return "a gang's or a long-running task is not completed by a run that was given up"
	default:
		return ""
	}
}

func (s *Scheduler) applyOutcome(t *task, finished *fleet.FinishedRun, now time.Time) {
	s.markBegan(t, now)
	t.ended = endedRunOn(t.worker, finished.Attempt)
	if t.step.def.Checkpointing && finished.Checkpoint != "" {
		t.checkpoint = finished.Checkpoint
	}
	switch finished.Outcome {
	case fleet.RunDone:
		t.worker.recordSuccess()
		if t.step.def.LongRunning {
			s.requeue(t, now, "the run of a long-running task ended")
			return
		}
		s.recordRun(t, now)
		gang := t.step
		s.completeTask(t, now)
		if gang.def.Gang {
			s.completeGang(gang, now)
		}
	case fleet.RunFailed:
		s.handleFailedRun(t, now)
	default:
		s.requeue(t, now, "the run ended: "+finished.Outcome.String())
	}
}
