package scheduler

import "time"

// beganReportDelay bounds how long the start of a job waits for other records to be stored
// with it. Clients may be told up to two seconds late.
const beganReportDelay = 500 * time.Millisecond

// beganTask is the first task of a job whose run has begun.
type beganTask struct {
	task *task
	at   time.Time
}

// markBegan records that a run of the task has begun. The first one of a job is stored, so
// that every entry can tell how many jobs wait.
func (s *Scheduler) markBegan(t *task, now time.Time) {
	t.began = true
	if j := t.step.occurrence.job; !j.beganKnown {
		j.beganKnown = true
		s.began = append(s.began, beganTask{task: t, at: now})
	}
}

// reportBegan adds the jobs that have begun to the batch, unless a record since tells it.
func (s *Scheduler) reportBegan() {
	for _, b := range s.began {
		if j := b.task.step.occurrence.job; !j.beganStored && !j.finished {
			s.recordAssignment(b.task)
		}
	}
	s.began = nil
}

// reportBeganInTime adds them once the first one has waited for long.
func (s *Scheduler) reportBeganInTime(now time.Time) {
	if len(s.began) > 0 && now.Sub(s.began[0].at) >= beganReportDelay {
		s.reportBegan()
	}
}
