package scheduler

import "time"

// minRatePercent is the progress from which a run's own rate tells more than its estimate:
// statuses are up to 0.9 s old, which is much of a short run's first tenth.
const minRatePercent = 10

// expectedEnd returns when the task's run is expected to end, by its estimate and its
// reported progress. It is zero for a task without a run and for one that runs until its
// job is cancelled.
func (s *Scheduler) expectedEnd(t *task, now time.Time) time.Time {
	if t.worker == nil || t.step.def.LongRunning {
		return time.Time{}
	}
	estimate := s.expectedRun(t.step)
	if t.confirmedAt.IsZero() {
		return now.Add(estimate)
	}
	left := estimate * time.Duration(100-min(t.progress, 100)) / 100
	if took, known := t.projectedRun(); known {
		left = took * time.Duration(100-t.progress) / 100
	}
	return laterOf(now, t.progressAt.Add(left))
}

// expectedRun returns how long a whole run of a task of the step is expected to take: as
// the step's other runs show, else its estimate, corrected by how the runs of its queue
// compared with theirs.
func (s *Scheduler) expectedRun(st *step) time.Duration {
	if seen, known := st.seenDuration(); known {
		return seen
	}
	estimate := st.def.Estimate()
	if ratios, known := s.runRatios[st.occurrence.job.queue.Name]; known {
		return time.Duration(float64(estimate) * ratios.median())
	}
	return estimate
}
