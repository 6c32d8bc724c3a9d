package scheduler

import "time"

// expectedEnd returns when the task's run is expected to end, by its estimate and its
// reported progress. It is zero for a task without a run and for one that runs until its
// job is cancelled.
func (s *Scheduler) expectedEnd(t *task, now time.Time) time.Time {
	if t.worker == nil || t.step.def.LongRunning {
		return time.Time{}
	}
	estimate := t.step.def.Estimate()
	if t.confirmedAt.IsZero() {
		return now.Add(estimate)
	}
	left := estimate * time.Duration(100-min(t.progress, 100)) / 100
	return laterOf(now, t.progressAt.Add(left))
}
