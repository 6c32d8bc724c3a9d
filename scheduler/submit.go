package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// RestoreJob adds a job of the ledger with its stored assignments.
func (s *Scheduler) RestoreJob(stored *ledger.Job, now time.Time) {
	if stored.Submission == nil {
		return
	}
	if stored.Result.Outcome != ledger.OutcomeNone {
		s.previouslyFinished[stored.Submission.ID] = stored.Submission
		s.beyondAllowance(stored.Submission, now.Add(-ageOf(stored.Submission, now)))
		for id := range stored.Tasks {
			// The leader before could not store the rest of the job's end.
			s.batch.Records = append(s.batch.Records, ledger.AssignmentTombstone(id))
		}
		if stored.FinishedBefore > 0 {
			s.batch.Records = append(s.batch.Records, ledger.ScheduleTombstone(stored.Submission.ID))
		}
		return
	}
	j := s.addJob(stored.Submission, now.Add(-ageOf(stored.Submission, now)))
	if j.sub.HasSchedule() {
		s.restoreOccurrences(j, stored)
	}
	for id, a := range stored.Tasks {
		s.restoreTask(j, id, a)
	}
	for _, o := range j.occurrences {
		s.recountSteps(o)
		s.reportStartedGangs(o)
	}
	if stored.Cancelled {
		s.Cancel(j.sub.ID, now)
		return
	}
	s.finishRestored(j, now)
}

// finishRestored finishes what was over before its result was stored: gangs of which a
// member is stored as done, occurrences and the job.
func (s *Scheduler) finishRestored(j *job, now time.Time) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.gangDone {
				s.completeGang(st, now)
			}
		}
		s.finishOccurrence(o, now)
	}
	if !j.finished && j.sub.HasSchedule() && j.countFinished() == j.sub.Occurrences {
		s.finishJob(j, ledger.OutcomeCompleted, now, "all occurrences are done")
	}
	if !j.finished {
		s.failExhausted(j, now)
	}
}

// restoreTask applies one stored assignment.
func (s *Scheduler) restoreTask(j *job, id fleet.TaskID, a ledger.Assignment) {
	o, known := j.occurrences[id.Occurrence]
	if !known || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return
	}
	t := o.steps[id.Step].tasks[id.Index]
	t.attempt, t.failures, t.checkpoint, t.began = a.Attempt, a.Failures, a.Checkpoint, a.Began
	if a.HasBegun() {
		j.beganKnown, j.beganStored = true, true
	}
	switch a.Phase {
	case ledger.PhaseDone:
		t.phase = done
	case ledger.PhaseAssigned:
		w := s.workers[a.Worker]
		if w == nil {
			w = s.addUnlistedWorker(a.Worker, s.tookOverAt)
		}
		if a.WorkerStartedAtMillis != w.info.StartedAtMillis {
			s.emit(Event{Kind: "task.restored", ID: t.id.String(), Worker: a.Worker, Attempt: a.Attempt, Reason: fmt.Sprintf("assigned to incarnation %d, listed as %d", a.WorkerStartedAtMillis, w.info.StartedAtMillis)})
		}
		// The list lags: the first poll shows whether the run exists, whichever of its
		// incarnations the worker is listed with.
		t.phase, t.restored, t.restoredOn = starting, true, a.WorkerStartedAtMillis
		t.confirmedAt = time.Time{}
		s.restoreLease(w, a)
		s.reserveResources(t, w)
	}
}

// reportStartedGangs logs what the ledger holds of the occurrence's gangs.
func (s *Scheduler) reportStartedGangs(o *occurrence) {
	for _, st := range o.steps {
		if assigned := len(st.tasks) - st.done - st.waiting; st.def.Gang && st.done+assigned > 0 {
			s.emit(Event{Kind: "gang.restored", ID: st.tasks[0].id.String(), Reason: fmt.Sprintf("%d members are done, %d assigned, %d waiting", st.done, assigned, st.waiting)})
		}
	}
}

// addUnlistedWorker adds a worker that is not on the list: its runs may still exist.
func (s *Scheduler) addUnlistedWorker(id string, now time.Time) *worker {
	w := s.newWorker(fleet.Worker{ID: id}, now)
	s.workers[id] = w
	return w
}

// recountSteps recomputes step counts after a restore.
func (s *Scheduler) recountSteps(o *occurrence) {
	o.remainingTasks = 0
	o.remainingCoreSeconds = 0
	for _, st := range o.steps {
		st.done, st.waiting = 0, 0
		for _, t := range st.tasks {
			switch t.phase {
			case done:
				st.done++
			case waiting:
				st.waiting++
			}
		}
		// Only the success of a gang's run makes members done: it represents all of them.
		st.gangDone = st.def.Gang && st.done > 0
		o.remainingTasks += len(st.tasks) - st.done
		o.remainingCoreSeconds += st.def.CoreSeconds() * float64(len(st.tasks)-st.done) / float64(len(st.tasks))
	}
	for _, st := range o.steps {
		st.pendingDependencies = 0
		for _, dependency := range st.def.DependsOn {
			if o.steps[dependency].done < len(o.steps[dependency].tasks) {
				st.pendingDependencies++
			}
		}
		s.updateReady(st)
	}
}

// Submit adds a job that has just been accepted; a duplicate has no effect.
func (s *Scheduler) Submit(sub *fleet.Submission, now time.Time) {
	if _, known := s.jobs[sub.ID]; known {
		return
	}
	j := s.addJob(sub, now.Add(-min(ageOf(sub, now), maxSubmissionAge)))
	if !j.longRunning && !sub.HasSchedule() {
		s.arrivals.add(arrival{at: s.countedArrival(j, now), pool: j.queue.Pool, coreSeconds: j.coreSeconds, key: j.demandKey(j.queue.Pool)})
	}
}

// countedArrival returns when the job counts as arriving. A leader that has just taken over
// reads the jobs of some seconds at once; later the clocks of entries, which may be seconds
// apart, tell less than the time at which the leader reads a job.
func (s *Scheduler) countedArrival(j *job, now time.Time) time.Time {
	if now.Sub(s.tookOverAt) < arrivalRetention {
		return j.arrivedAt
	}
	return now
}

// SubmitStored adds a job that the leader has just read, with its assignments if any are
// stored; one that is known is left alone.
func (s *Scheduler) SubmitStored(stored *ledger.Job, now time.Time) {
	if _, known := s.jobs[stored.Submission.ID]; known {
		return
	}
	if stored.HasProgress() {
		s.RestoreJob(stored, now)
		return
	}
	s.Submit(stored.Submission, now)
}

// ageOf returns how long ago the job arrived. The accepting entry's wall clock tells,
// which may be seconds ahead.
func ageOf(sub *fleet.Submission, now time.Time) time.Duration {
	return max(0, time.Duration(now.UnixMilli()-sub.ArrivedMillis)*time.Millisecond)
}

func (s *Scheduler) addJob(sub *fleet.Submission, arrivedAt time.Time) *job {
	j := &job{
		sub: sub, arrivedAt: arrivedAt, coreSeconds: sub.CoreSeconds(), longRunning: sub.LongRunning(),
		occurrences: map[int]*occurrence{}, finishedOccurrences: map[int]struct{}{}, team: s.teamByName(sub.Team),
	}
	s.applyManifest(j)
	j.beyond = s.beyondAllowance(sub, arrivedAt)
	if j.queue.Pool == "" {
		s.emit(Event{Kind: "job.queue_unknown", ID: sub.ID, Reason: fmt.Sprintf("neither manifest %d nor the job's record defines queue %s", s.manifest.Version, sub.Queue)})
	}
	s.jobs[sub.ID] = j
	if sub.HasSchedule() {
		s.scheduledJobs[j] = struct{}{}
	} else {
		s.startOccurrence(j, 0)
	}
	return j
}

// updateReady adds the step to the ready set or removes it.
func (s *Scheduler) updateReady(st *step) {
	if st.ready() {
		s.ready[st] = struct{}{}
	} else {
		delete(s.ready, st)
		st.readySince = time.Time{}
	}
}

// Cancel stops a job for its client.
func (s *Scheduler) Cancel(id string, now time.Time) {
	if j, known := s.jobs[id]; known && !j.finished {
		s.finishJob(j, ledger.OutcomeCancelled, now, "cancelled by its client")
	}
}

// finishJob finishes a job: its runs are stopped and its result is stored. The result comes
// before the tombstones of the tasks: a leader that reads a part of the records must not
// take tasks without a record for ones that have never run.
func (s *Scheduler) finishJob(j *job, outcome ledger.Outcome, now time.Time, reason string) {
	j.finished = true
	delete(s.scheduledJobs, j)
	s.emit(Event{Kind: "job.ended", ID: j.sub.ID, Reason: reason})
	s.batch.Records = append(s.batch.Records, ledger.ResultRecord(j.sub.ID, ledger.Result{Outcome: outcome, AtMillis: now.UnixMilli()}))
	s.dropFinishedOccurrences(j)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				s.dropTask(t, now)
			}
			s.updateReady(st)
		}
	}
}

// dropTask ends a finished job's task and deletes its record.
func (s *Scheduler) dropTask(t *task, now time.Time) {
	if t.attempt > 0 {
		s.batch.Records = append(s.batch.Records, ledger.AssignmentTombstone(t.id))
	}
	switch t.phase {
	case waiting:
		t.step.waiting--
		t.phase = done
	case persisting:
		// The start has not been requested and never will be.
		s.releaseResources(t)
		t.phase = done
	case starting, running:
		s.requestStop(t, now)
	}
}

// requestStop requests that the worker stop the task's run.
func (s *Scheduler) requestStop(t *task, now time.Time) {
	if t.phase != stopping {
		t.phase = stopping
		t.absentAfter = time.Time{}
	}
	t.stopRequestedAt = now
	s.batch.Stops = append(s.batch.Stops, StopRequest{Endpoint: t.worker.endpoint(), Task: t.id, Attempt: t.attempt})
}
