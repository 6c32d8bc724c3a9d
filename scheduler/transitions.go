package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// occupy takes room on the worker for the task.
func (s *Scheduler) occupy(t *task, w *worker) {
	t.worker = w
	w.tasks[t.id] = t
	need := t.need()
	w.used = w.used.Plus(need)
	t.step.onWorker[w.info.ID]++
	if tn := t.step.run.job.team; tn != nil {
		tn.used = tn.used.Plus(t.step.def.Need)
	}
}

// vacate gives the task's room back.
func (s *Scheduler) vacate(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t.id)
	w.used = w.used.Minus(t.need())
	if n := t.step.onWorker[w.info.ID]; n > 1 {
		t.step.onWorker[w.info.ID] = n - 1
	} else {
		delete(t.step.onWorker, w.info.ID)
	}
	if tn := t.step.run.job.team; tn != nil {
		tn.used = tn.used.Minus(t.step.def.Need)
	}
	t.worker = nil
}

// clear resets what is known of the last run.
func (t *task) clear() {
	t.restored, t.unsure, t.restoredRun = false, false, false
	t.confirmedAt, t.goneAfter, t.stopOrderedAt, t.progressAt, t.atWorkAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	t.percent, t.usage, t.pace = 0, 0, 100
	t.ticket = ""
}

// requeue makes a task whose run is known to be over wait for a new one.
func (s *Scheduler) requeue(t *task, now time.Time, why string) {
	workerID := ""
	if t.worker != nil {
		workerID = t.worker.info.ID
	}
	s.vacate(t)
	t.clear()
	if t.step.run.job.ended {
		t.phase = done
		return
	}
	if t.step.gangDone {
		s.complete(t, now)
		return
	}
	s.note(Event{Kind: "task.requeued", ID: t.id.String(), Reason: why, Worker: workerID, Attempt: t.attempt})
	t.phase = waiting
	t.step.waiting++
	if t.step.waiting == len(t.step.tasks)-t.step.done {
		t.step.rack = ""
	}
	s.record(t)
	s.index(t.step)
}

// complete ends a task as done.
func (s *Scheduler) complete(t *task, now time.Time) {
	s.vacate(t)
	t.clear()
	t.phase = done
	st := t.step
	o := st.run
	if o.job.ended {
		return
	}
	s.record(t)
	st.done++
	o.left--
	o.remaining -= st.def.CoreSeconds() / float64(len(st.tasks))
	if st.done == len(st.tasks) {
		for _, later := range o.steps[st.index+1:] {
			for _, before := range later.def.DependsOn {
				if before == st.index {
					later.blockers--
				}
			}
			s.index(later)
		}
	}
	s.finishOccurrence(o, now)
}

// finishOccurrence closes an occurrence whose tasks are all done, and its job
// with the last one.
func (s *Scheduler) finishOccurrence(o *occurrence, now time.Time) {
	j := o.job
	if o.left > 0 || j.ended {
		return
	}
	if !j.sub.HasSchedule() {
		s.end(j, ledger.OutcomeCompleted, now, "all tasks are done")
		return
	}
	if _, live := j.live[o.number]; !live {
		return
	}
	j.finished++
	if j.finished >= j.sub.Occurrences {
		s.end(j, ledger.OutcomeCompleted, now, "all occurrences are done")
	}
}

// fail counts a failed run and lets the task wait for another, or ends the job.
func (s *Scheduler) fail(t *task, now time.Time) {
	j := t.step.run.job
	t.failures++
	if t.worker != nil {
		t.avoid, t.avoidUntil = t.worker.info.ID, now.Add(avoidAfterFailure)
		s.blame(t.worker, j.sub.ID, now)
	}
	if j.ended || j.lasting || t.failures < j.queue.MaxAttempts {
		s.requeue(t, now, "the run failed")
		return
	}
	s.vacate(t)
	t.clear()
	t.phase = waiting
	t.step.waiting++
	s.end(j, ledger.OutcomeFailed, now, "a task failed as often as it may")
}

// blame counts a failed run against its worker. A worker that fails the runs
// of several jobs in a row gets no new work for a while: one job that can never
// run fails alone.
func (s *Scheduler) blame(w *worker, jobID string, now time.Time) {
	w.failedInRow++
	if w.failedInRow == 1 {
		w.failedJob, w.severalJobs = jobID, false
	} else if w.failedJob != jobID {
		w.severalJobs = true
	}
	if w.failedInRow < failuresToQuarantine || !w.severalJobs {
		return
	}
	w.pause = min(max(quarantine, 2*w.pause), maxQuarantine)
	w.avoidUntil = now.Add(w.pause)
	s.note(Event{Kind: "worker.quarantined", ID: w.info.ID, Reason: "fails runs of several jobs in a row", Attempt: w.failedInRow})
}

// praise ends a worker's bad record.
func (w *worker) praise() {
	w.failedInRow, w.severalJobs, w.pause = 0, false, 0
	w.failedJob = ""
}

// completeGang ends the members of a gang that have no run: one end as done
// stands for all. The others end by themselves.
func (s *Scheduler) completeGang(st *step, now time.Time) {
	st.gangDone = true
	for _, member := range st.tasks {
		if member.phase == waiting {
			st.waiting--
			s.complete(member, now)
		}
	}
}

// find returns the task of the name, or nil.
func (s *Scheduler) find(id fleet.TaskID) *task {
	j, known := s.jobs[id.Job]
	if !known {
		return nil
	}
	o, known := j.live[id.Occurrence]
	if !known || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}
