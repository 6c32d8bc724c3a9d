package scheduler

import "time"

const (
	// minStallTime is the shortest time without progress that counts as a stall:
	// workers are polled at least every 0.9 s.
	minStallTime = 1200 * time.Millisecond
	// stallFactor is the multiple of its estimate that a task may make no progress.
	stallFactor = 1.0
	// slowPercent is the progress below which a run counts as slow once its estimated
	// time has passed. Estimates are off by less than half.
	slowPercent = 40
	// minSlowRuntime is the shortest runtime that counts as slow.
	minSlowRuntime = 700 * time.Millisecond
	// longRunningStartTimeout is how long a long-running task may take to become ready.
	longRunningStartTimeout = 4 * time.Second
	// stallBackoff keeps new tasks off a worker on which a run stalled.
	stallBackoff = 3 * time.Second
)

// stopStalledRuns stops runs that stall, or are far slower than estimated, so that they
// restart elsewhere. A task is moved away from a slow worker only once: the second time
// the task itself is slow.
func (s *Scheduler) stopStalledRuns(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if t.phase != running || t.step.occurrence.job.finished || t.step.def.Gang || t.cpuPercent < 100 {
			continue
		}
		reason := t.stallReason(now)
		if reason == "" || t.movedFromSlowWorker {
			continue
		}
		t.movedFromSlowWorker = true
		t.avoid, t.avoidUntil = w.info.ID, now.Add(stallBackoff)
		w.avoidUntil = laterOf(w.avoidUntil, now.Add(stallBackoff))
		s.emit(Event{Kind: "run.stalled", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: reason})
		s.requestStop(t, now)
	}
}

// stallReason returns why the run counts as stalled, or "".
func (t *task) stallReason(now time.Time) string {
	if t.confirmedAt.IsZero() || t.startedByPreviousLeader {
		return ""
	}
	runtime := now.Sub(t.confirmedAt)
	if t.step.def.LongRunning {
		// One that is ready and within its budget is not disturbed.
		if t.runningSince.IsZero() && runtime > longRunningStartTimeout {
			return "it is not ready within the start timeout"
		}
		return ""
	}
	estimate := t.step.def.Estimate()
	if now.Sub(t.progressAt) > max(minStallTime, time.Duration(stallFactor*float64(estimate))) {
		return "it makes no progress"
	}
	if runtime > max(minSlowRuntime, estimate) && t.progress < slowPercent {
		return "it is far slower than estimated"
	}
	return ""
}
