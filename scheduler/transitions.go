package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// reserveResources reserves the task's capacity.
func (s *Scheduler) reserveResources(t *task, w *worker) {
	t.worker, t.pool = w, w.info.Pool
	w.tasks[t.id] = t
	s.countShortUse(t, t.pool, t.step.def.Need.MilliCPU)
	need := t.resources()
	w.used = w.used.Plus(need)
	t.step.tasksByWorker[w.info.ID]++
	if jobTeam := t.step.occurrence.job.team; jobTeam != nil {
		jobTeam.used = jobTeam.used.Plus(t.step.def.Need)
	}
}

// releaseResources releases the task's capacity.
func (s *Scheduler) releaseResources(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t.id)
	s.countShortUse(t, t.pool, -t.step.def.Need.MilliCPU)
	w.used = w.used.Minus(t.resources())
	if n := t.step.tasksByWorker[w.info.ID]; n > 1 {
		t.step.tasksByWorker[w.info.ID] = n - 1
	} else {
		delete(t.step.tasksByWorker, w.info.ID)
	}
	if jobTeam := t.step.occurrence.job.team; jobTeam != nil {
		jobTeam.used = jobTeam.used.Minus(t.step.def.Need)
	}
	t.worker = nil
}

// resetRun clears the state of the last run.
func (t *task) resetRun() {
	t.restored, t.inDoubt, t.startedByPreviousLeader = false, false, false
	t.confirmedAt, t.absentAfter, t.stopRequestedAt, t.progressAt, t.runningSince = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	t.progress, t.usage, t.cpuPercent = 0, 0, 100
	t.ticket = ""
	t.shownOn, t.restoredOn = 0, 0
	t.resumed, t.confirmedProgress = false, 0
}

// requeue makes a task whose run is known to have ended wait for a new one.
func (s *Scheduler) requeue(t *task, now time.Time, reason string) {
	workerID := ""
	if t.worker != nil {
		workerID = t.worker.info.ID
	}
	s.releaseResources(t)
	t.resetRun()
	if t.step.occurrence.job.finished {
		t.phase = done
		return
	}
	if t.step.gangDone {
		s.completeTask(t, now)
		return
	}
	s.emit(Event{Kind: "task.requeued", ID: t.id.String(), Reason: reason, Worker: workerID, Attempt: t.attempt})
	t.phase = waiting
	t.step.waiting++
	if t.step.waiting == len(t.step.tasks)-t.step.done {
		t.step.rack = ""
	}
	s.recordAssignment(t)
	s.updateReady(t.step)
}

// completeTask marks a task as done.
func (s *Scheduler) completeTask(t *task, now time.Time) {
	s.releaseResources(t)
	t.resetRun()
	t.phase = done
	st := t.step
	o := st.occurrence
	if o.job.finished {
		return
	}
	s.recordAssignment(t)
	st.done++
	o.remainingTasks--
	o.remainingCoreSeconds -= st.def.CoreSeconds() / float64(len(st.tasks))
	if st.done == len(st.tasks) {
		for _, dependent := range o.steps[st.index+1:] {
			for _, dependency := range dependent.def.DependsOn {
				if dependency == st.index {
					dependent.pendingDependencies--
				}
			}
			s.updateReady(dependent)
		}
	}
	s.finishOccurrence(o, now)
}

// finishOccurrence finishes an occurrence whose tasks are all done, and its job with
// the last one.
func (s *Scheduler) finishOccurrence(o *occurrence, now time.Time) {
	j := o.job
	if o.remainingTasks > 0 || o.finished || j.finished {
		return
	}
	o.finished = true
	if !j.sub.HasSchedule() {
		s.finishJob(j, ledger.OutcomeCompleted, now, "all tasks are done")
		return
	}
	if _, started := j.occurrences[o.number]; !started {
		return
	}
	if j.countFinished()+1 < j.sub.Occurrences {
		s.closeOccurrence(o)
		return
	}
	s.finishJob(j, ledger.OutcomeCompleted, now, "all occurrences are done")
}

// handleFailedRun counts a failed run and requeues the task, or ends the job.
func (s *Scheduler) handleFailedRun(t *task, now time.Time) {
	j := t.step.occurrence.job
	t.failures++
	if t.worker != nil {
		t.avoid, t.avoidUntil = t.worker.info.ID, now.Add(avoidAfterFailure)
		s.recordFailure(t.worker, j.sub.ID, now)
	}
	if j.finished || j.longRunning || t.failures < j.queue.MaxAttempts {
		s.requeue(t, now, "the run failed")
		return
	}
	s.releaseResources(t)
	t.resetRun()
	t.phase = waiting
	t.step.waiting++
	s.finishJob(j, ledger.OutcomeFailed, now, s.exhaustedReason(t))
}

// exhaustedReason returns the inputs of the decision that the task has no attempts left.
func (s *Scheduler) exhaustedReason(t *task) string {
	queue := t.step.occurrence.job.queue
	reason := fmt.Sprintf("%s has used all its attempts: %d failed, %d are allowed", t.id, t.failures, queue.MaxAttempts)
	if s.manifest.QueueByName(queue.Name) == nil {
		reason += fmt.Sprintf("; manifest %d has no queue %s", s.manifest.Version, queue.Name)
	}
	return reason
}

// recordFailure counts a failed run against its worker. A worker that fails runs of
// several jobs in a row gets no new tasks for a while: a single bad job must not
// quarantine a worker.
func (s *Scheduler) recordFailure(w *worker, jobID string, now time.Time) {
	w.consecutiveFailures++
	if w.consecutiveFailures == 1 {
		w.firstFailedJob, w.failedSeveralJobs = jobID, false
	} else if w.firstFailedJob != jobID {
		w.failedSeveralJobs = true
	}
	if w.consecutiveFailures < failuresToQuarantine || !w.failedSeveralJobs {
		return
	}
	w.quarantineDuration = min(max(initialQuarantine, 2*w.quarantineDuration), maxQuarantine)
	w.avoidUntil = now.Add(w.quarantineDuration)
	s.emit(Event{Kind: "worker.quarantined", ID: w.info.ID, Reason: "fails runs of several jobs in a row", Attempt: w.consecutiveFailures})
}

// recordSuccess resets the failure counts.
func (w *worker) recordSuccess() {
	w.consecutiveFailures, w.failedSeveralJobs, w.quarantineDuration = 0, false, 0
	w.firstFailedJob = ""
}

// completeGang completes the members of a gang that have no run: one success counts for
// all. The other members end by themselves.
func (s *Scheduler) completeGang(st *step, now time.Time) {
	if !st.gangDone {
		s.emit(Event{Kind: "gang.done", ID: st.tasks[0].id.String(), Reason: fmt.Sprintf("a member has succeeded, %d of %d have no run", st.waiting, len(st.tasks))})
	}
	st.gangDone = true
	for _, member := range st.tasks {
		if member.phase == waiting {
			st.waiting--
			s.completeTask(member, now)
		}
	}
}

// findTask returns the task with the ID, or nil.
func (s *Scheduler) findTask(id fleet.TaskID) *task {
	j, known := s.jobs[id.Job]
	if !known {
		return nil
	}
	o, known := j.occurrences[id.Occurrence]
	if !known || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}
