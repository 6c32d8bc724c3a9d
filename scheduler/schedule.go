package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

const (
	// maxOpenTasks bounds the tasks of the open occurrences of all jobs that are behind
	// their schedules: a job may have as many in one occurrence.
	maxOpenTasks = fleet.MaxTasks
	// maxReadyTasks bounds the tasks of such a job that wait to be placed. Tasks that have
	// found no room do not find any sooner if there are more of them.
	maxReadyTasks = 256
	// tasksPerProgress is how many finished tasks' records are replaced together.
	tasksPerProgress = 512
)

// startDueOccurrences starts occurrences that are due, each job's in order. A job that is far
// behind its schedule has a bounded number of open occurrences; the next ones start as these
// are placed and end. The ledger holds all of them by the job's submission.
func (s *Scheduler) startDueOccurrences(now time.Time) {
	behind := 0
	for j := range s.scheduledJobs {
		if j.hasDueOccurrence(now) {
			behind++
		}
	}
	for j := range s.scheduledJobs {
		if !j.hasDueOccurrence(now) {
			continue
		}
		window := j.window(maxOpenTasks / behind)
		for j.hasDueOccurrence(now) && window.takes(len(j.occurrences), j.sub.Tasks()) {
			window.add(s.startOccurrence(j, j.nextOccurrence))
		}
	}
}

func (j *job) hasDueOccurrence(now time.Time) bool {
	return !j.finished && j.nextOccurrence < j.sub.Occurrences && !now.Before(j.sub.Due(j.nextOccurrence).Add(-dueLeadTime))
}

// occurrenceWindow is what a job has of open tasks, and its share of maxOpenTasks.
type occurrenceWindow struct {
	open, ready, share int
}

func (j *job) window(share int) *occurrenceWindow {
	w := &occurrenceWindow{share: share}
	for _, o := range j.occurrences {
		w.add(o)
	}
	return w
}

// add counts an open occurrence. Steps with a limit per worker do not count as ready: it holds
// within the occurrence, so that the next one may find room where this one does not.
func (w *occurrenceWindow) add(o *occurrence) {
	w.open += o.remainingTasks
	for _, st := range o.steps {
		if st.ready() && st.def.MaxPerWorker == 0 {
			w.ready += st.waiting
		}
	}
}

// takes reports whether one more occurrence of the number of tasks may start beside the open
// ones.
func (w *occurrenceWindow) takes(openOccurrences, tasks int) bool {
	if openOccurrences == 0 {
		return true
	}
	if openOccurrences < fleet.MaxOverlap && w.open+tasks <= maxOpenTasks {
		return true
	}
	return w.ready < maxReadyTasks && w.open+tasks <= w.share
}

// startOccurrence makes an occurrence of the job available for placement.
func (s *Scheduler) startOccurrence(j *job, number int) *occurrence {
	o := newOccurrence(j, number)
	j.occurrences[number] = o
	for _, st := range o.steps {
		s.updateReady(st)
	}
	j.skipStarted()
	if j.nextOccurrence >= j.sub.Occurrences {
		delete(s.scheduledJobs, j)
	}
	return o
}

// skipStarted moves to the next occurrence that is neither open nor finished.
func (j *job) skipStarted() {
	for j.hasStarted(j.nextOccurrence) {
		j.nextOccurrence++
	}
}

func (j *job) hasStarted(number int) bool {
	_, open := j.occurrences[number]
	return open || j.hasFinished(number)
}

func (j *job) hasFinished(number int) bool {
	_, finished := j.finishedOccurrences[number]
	return finished || number < j.finishedBefore
}

func (j *job) countFinished() int { return j.finishedBefore + len(j.finishedOccurrences) }

// occurrenceFinished reports whether the task's occurrence has finished and its tasks are
// forgotten.
func (s *Scheduler) occurrenceFinished(id fleet.TaskID) bool {
	j, known := s.jobs[id.Job]
	return known && j.hasFinished(id.Occurrence)
}

// closeOccurrence forgets the tasks of an occurrence that has finished.
func (s *Scheduler) closeOccurrence(o *occurrence) {
	for _, st := range o.steps {
		s.updateReady(st)
	}
	delete(o.job.occurrences, o.number)
	o.job.finishedOccurrences[o.number] = struct{}{}
	s.storeProgress(o.job)
}

// storeProgress replaces the records of the first finished occurrences by one, once there are
// some. An occurrence that has not finished keeps the records of all that follow.
func (s *Scheduler) storeProgress(j *job) {
	perRecord := max(1, tasksPerProgress/j.sub.Tasks())
	first, finished := j.finishedBefore, 0
	for finished < 2*perRecord {
		if _, known := j.finishedOccurrences[first+finished]; !known {
			break
		}
		finished++
	}
	if finished < perRecord {
		return
	}
	j.finishedBefore += finished
	s.batch.Records = append(s.batch.Records, ledger.ScheduleRecord(j.sub.ID, ledger.ScheduleProgress{FinishedBefore: j.finishedBefore}))
	for number := first; number < j.finishedBefore; number++ {
		delete(j.finishedOccurrences, number)
		s.dropRecords(j, number)
	}
}

// restoreOccurrences starts the occurrences of which tasks are stored, but for those that have
// finished: of these all tasks are stored as done.
func (s *Scheduler) restoreOccurrences(j *job, stored *ledger.Job) {
	j.finishedBefore = stored.FinishedBefore
	done := map[int]int{}
	for id, a := range stored.Tasks {
		if !j.sub.HasTask(id) || id.Occurrence < j.finishedBefore {
			continue
		}
		count := done[id.Occurrence]
		if a.Phase == ledger.PhaseDone {
			count++
		}
		done[id.Occurrence] = count
	}
	for number, count := range done {
		if count == j.sub.Tasks() {
			j.finishedOccurrences[number] = struct{}{}
		} else {
			s.startOccurrence(j, number)
		}
	}
	j.nextOccurrence = max(j.nextOccurrence, j.finishedBefore)
	j.skipStarted()
}

// dropFinishedOccurrences deletes the records of the finished occurrences of a job that ends.
func (s *Scheduler) dropFinishedOccurrences(j *job) {
	if j.finishedBefore > 0 {
		s.batch.Records = append(s.batch.Records, ledger.ScheduleTombstone(j.sub.ID))
	}
	for number := range j.finishedOccurrences {
		s.dropRecords(j, number)
	}
}

// dropRecords deletes the records of the occurrence's tasks.
func (s *Scheduler) dropRecords(j *job, number int) {
	for i := range j.sub.Steps {
		for n := range j.sub.Steps[i].Count {
			id := fleet.TaskID{Job: j.sub.ID, Occurrence: number, Step: i, Index: n}
			s.batch.Records = append(s.batch.Records, ledger.AssignmentTombstone(id))
		}
	}
}
