package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// HandlePollFailure takes in a look that got no usable answer.
func (s *Scheduler) HandlePollFailure(id string, err error, now time.Time) {
	w, known := s.workers[id]
	if !known {
		return
	}
	switch provider.CodeOf(err) {
	case provider.CodeFenced:
		s.deposed = true
	case provider.CodeOtherLife:
		s.bury(w, now, "another worker answers at its address")
	default:
		w.missed++
		if w.missed == 1 {
			s.note(Event{Kind: "worker.unreachable", ID: id, Reason: err.Error()})
		}
	}
}

// HandleStatus takes in what a look, sent at the time sent, showed.
func (s *Scheduler) HandleStatus(id string, look *fleet.WorkerStatus, sent, now time.Time) {
	w, known := s.workers[id]
	if !known || w.dead {
		return
	}
	if look.StartedAtMillis != 0 && w.info.StartedAtMillis != 0 && look.StartedAtMillis != w.info.StartedAtMillis {
		if look.StartedAtMillis < w.info.StartedAtMillis {
			return // An answer of an earlier life.
		}
		info := w.info
		info.StartedAtMillis = look.StartedAtMillis
		registered := w.registered
		s.bury(w, now, "the worker has started again")
		s.setWorker(id, info, now)
		w = s.workers[id]
		w.registered = registered
	}
	if w.missed > 0 {
		s.note(Event{Kind: "worker.reachable", ID: id})
	}
	w.missed = 0
	w.clockMillis, w.clockAt = look.ClockMillis, now
	w.lookedAt = now
	s.takeActive(w, look, now)
	s.takeFinished(w, look, now)
	s.takeAbsent(w, look, sent, now)
	w.looked = true
	s.findStalled(w, now)
	s.paceFilling(w, now)
}

// takeActive confirms the runs that are there and stops those that should not be.
func (s *Scheduler) takeActive(w *worker, look *fleet.WorkerStatus, now time.Time) {
	w.strays = fleet.Resources{}
	for i := range look.Active {
		run := &look.Active[i]
		t, here := w.tasks[run.Task]
		if !here || t.attempt != run.Attempt || !t.mayRun() {
			if here && t.phase == recording {
				// An earlier run of the task is still there.
				s.requeueLater(t, now)
			}
			w.strays = w.strays.Plus(s.needOf(w, run.Task))
			s.batch.Stops = append(s.batch.Stops, StopRequest{Endpoint: w.endpoint(), Task: run.Task, Attempt: run.Attempt})
			s.note(Event{Kind: "run.unexpected", ID: run.Task.String(), Worker: w.info.ID, Attempt: run.Attempt, Reason: "not assigned"})
			continue
		}
		if t.phase == starting {
			s.confirm(t, now)
		}
		if run.Percent > t.percent || t.progressAt.IsZero() {
			t.progressAt = now
		}
		if run.Percent >= 100 && t.atWorkAt.IsZero() {
			t.atWorkAt = now
		}
		t.percent, t.usage = run.Percent, run.Usage
		if t.step.def.Checkpointing && run.Checkpoint != "" {
			t.checkpoint = run.Checkpoint
		}
	}
}

// needOf returns what a run takes that is not assigned: one of a job that has
// ended, or of an earlier attempt. A run of a job that is not known at all may
// take everything.
func (s *Scheduler) needOf(w *worker, id fleet.TaskID) fleet.Resources {
	if t := s.find(id); t != nil {
		return t.need()
	}
	if sub, known := s.past[id.Job]; known && id.Step < len(sub.Steps) {
		need := sub.Steps[id.Step].Need
		if sub.Steps[id.Step].BestEffort {
			need.MilliCPU = 0
		}
		return need
	}
	return w.info.Capacity
}

// requeueLater withdraws an assignment whose start has not gone out.
func (s *Scheduler) requeueLater(t *task, now time.Time) {
	s.requeue(t, now, "an earlier run is still there")
}

// confirm notes that the run is there.
func (s *Scheduler) confirm(t *task, now time.Time) {
	t.phase = running
	// What a run of an earlier owner has done so far is not known.
	t.restoredRun = t.restored
	t.restored, t.unsure = false, false
	t.confirmedAt = now
	if t.progressAt.IsZero() {
		t.progressAt = now
	}
}

// takeFinished applies the ends that have not been seen before.
func (s *Scheduler) takeFinished(w *worker, look *fleet.WorkerStatus, now time.Time) {
	for i := range look.Finished {
		end := &look.Finished[i]
		if end.Number <= w.handled {
			continue
		}
		w.handled = end.Number
		t, here := w.tasks[end.Task]
		if !here || t.attempt != end.Attempt || t.phase == recording {
			s.takeLateEnd(end, now)
			continue
		}
		s.takeEnd(t, end, now)
	}
	if w.handled > w.recorded {
		if s.batch.seen == nil {
			s.batch.seen = map[*worker]int64{}
		}
		s.batch.seen[w] = w.handled
	}
}

// takeLateEnd accepts an end as done of a run that was given up, of a worker that
// is back in reach: work that has been done is not done again while that can be
// helped.
func (s *Scheduler) takeLateEnd(end *fleet.FinishedRun, now time.Time) {
	t := s.find(end.Task)
	if t == nil || end.Outcome != fleet.RunDone || t.step.def.LongRunning || t.step.def.Gang || t.step.run.job.ended {
		return
	}
	switch t.phase {
	case waiting:
		t.step.waiting--
	case recording:
	default:
		return
	}
	s.note(Event{Kind: "task.done_late", ID: t.id.String(), Attempt: end.Attempt, Reason: "a run that was given up had ended"})
	s.complete(t, now)
	s.index(t.step)
}

func (s *Scheduler) takeEnd(t *task, end *fleet.FinishedRun, now time.Time) {
	if t.step.def.Checkpointing && end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	switch end.Outcome {
	case fleet.RunDone:
		t.worker.praise()
		if t.step.def.LongRunning {
			s.requeue(t, now, "the run of a lasting task ended")
			return
		}
		gang := t.step
		s.complete(t, now)
		if gang.def.Gang {
			s.completeGang(gang, now)
		}
	case fleet.RunFailed:
		s.fail(t, now)
	default:
		s.requeue(t, now, "the run ended: "+end.Outcome.String())
	}
}

// takeAbsent finds the runs that the look proves not to be there.
func (s *Scheduler) takeAbsent(w *worker, look *fleet.WorkerStatus, sent, now time.Time) {
	if len(w.tasks) == 0 {
		return
	}
	there := make(map[fleet.TaskID]int, len(look.Active))
	for i := range look.Active {
		there[look.Active[i].Task] = look.Active[i].Attempt
	}
	for id, t := range w.tasks {
		if there[id] == t.attempt || t.phase == recording {
			continue
		}
		gone := t.phase == running && t.confirmedAt.Before(sent) ||
			t.restored && t.phase == starting ||
			t.restored && t.phase == stopping && !w.looked ||
			!t.goneAfter.IsZero() && t.goneAfter.Before(sent)
		if gone {
			s.requeue(t, now, "a look does not show the run")
		}
	}
}

// HandleStartResponse takes in the answer to a start, sent at the time sent.
func (s *Scheduler) HandleStartResponse(order *fleet.StartRequest, workerID string, err error, now time.Time) {
	t := s.find(order.Task)
	if t == nil || t.attempt != order.Attempt || t.worker == nil || t.worker.info.ID != workerID || !t.mayRun() {
		return
	}
	w := t.worker
	if err == nil {
		if t.phase == starting {
			s.confirm(t, now)
		}
		return
	}
	code := provider.CodeOf(err)
	if code == provider.CodeFenced {
		s.deposed = true
		return
	}
	if code == provider.CodeOtherLife {
		s.bury(w, now, "another worker answers at its address")
		return
	}
	if t.phase != starting {
		return
	}
	if provider.OutcomeOf(err) == provider.Unknown || code == provider.CodeSuperseded {
		s.startUnsure(t, code, now)
		return
	}
	switch code {
	case provider.CodeUnavailable, provider.CodeUnreachable, provider.CodeNoRoom, provider.CodeInvalid:
		w.avoidUntil = later(w.avoidUntil, now.Add(refusedPause))
	}
	s.requeue(t, now, "the start was refused: "+string(code))
}

// startUnsure handles a start that may have been carried out: a stop makes the
// worker reject the run if it comes later, and ends it if it is there.
func (s *Scheduler) startUnsure(t *task, code provider.Code, now time.Time) {
	s.note(Event{Kind: "start.unsure", ID: t.id.String(), Worker: t.worker.info.ID, Attempt: t.attempt, Reason: string(code)})
	t.unsure = true
	if code == provider.CodeSuperseded {
		t.goneAfter = now
		return
	}
	t.worker.avoidUntil = later(t.worker.avoidUntil, now.Add(refusedPause))
	s.orderStop(t, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleStopResponse takes in the answer to a stop.
func (s *Scheduler) HandleStopResponse(stop *StopRequest, err error, now time.Time) {
	switch provider.CodeOf(err) {
	case provider.CodeFenced:
		s.deposed = true
		return
	case provider.CodeOtherLife:
		s.EndIncarnation(stop.Endpoint.WorkerID, now, "another worker answers at its address")
		return
	}
	t := s.find(stop.Task)
	if err != nil || t == nil || t.attempt != stop.Attempt || t.phase != stopping {
		return
	}
	if t.goneAfter.IsZero() {
		t.goneAfter = now
	}
	s.batch.PollSoon = append(s.batch.PollSoon, stop.Endpoint.WorkerID)
}
