package scheduler

import "time"

const (
	// stallLeast is the shortest time without progress that counts as a stall:
	// looks come every 0.9 s at least.
	stallLeast = 1200 * time.Millisecond
	// stallFactor is how many times a task's estimate it may make no progress.
	stallFactor = 1.0
	// slowPercent is the progress below which a run counts as slow once it has
	// had its whole estimated time. Estimates are off by less than half.
	slowPercent = 40
	// slowLeast is the shortest run that is judged.
	slowLeast = 700 * time.Millisecond
	// lastingStart is how long a lasting task may take until it is at work.
	lastingStart = 4 * time.Second
	// stalledPause keeps new work off a worker on which a run stood still.
	stalledPause = 3 * time.Second
)

// findStalled stops runs that stand still, or are far slower than estimated, so
// that they start elsewhere. A task is taken away from a slow worker once only:
// the second time the task itself is slow.
func (s *Scheduler) findStalled(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if t.phase != running || t.step.run.job.ended || t.step.def.Gang || t.pace < 100 {
			continue
		}
		why := t.stalled(now)
		if why == "" || t.movedAway {
			continue
		}
		t.movedAway = true
		t.avoid, t.avoidUntil = w.info.ID, now.Add(stalledPause)
		w.avoidUntil = later(w.avoidUntil, now.Add(stalledPause))
		s.note(Event{Kind: "run.stalled", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: why})
		s.orderStop(t, now)
	}
}

// stalled returns why the run does not get on, or nothing.
func (t *task) stalled(now time.Time) string {
	if t.confirmedAt.IsZero() || t.restoredRun {
		return ""
	}
	ran := now.Sub(t.confirmedAt)
	if t.step.def.LongRunning {
		// One that serves within its budget is not disturbed.
		if t.atWorkAt.IsZero() && ran > lastingStart {
			return "it is not at work after its start"
		}
		return ""
	}
	estimate := t.step.def.Estimate()
	if now.Sub(t.progressAt) > max(stallLeast, time.Duration(stallFactor*float64(estimate))) {
		return "it makes no progress"
	}
	if ran > max(slowLeast, estimate) && t.percent < slowPercent {
		return "it is far slower than estimated"
	}
	return ""
}
