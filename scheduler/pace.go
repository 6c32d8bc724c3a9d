package scheduler

import "time"

const (
	// nearTarget is the part of its target from which a serving task's tail makes
	// the tasks that fill beside it slow down.
	nearTarget = 0.85
	// wellBelow is the part of the target below which they speed up again.
	wellBelow = 0.6
	// paceDownEvery and paceUpEvery are the pauses between two changes: reports
	// cover the last half second.
	paceDownEvery = 600 * time.Millisecond
	paceUpEvery   = 1500 * time.Millisecond
	// paceUpStep is how much is given back at once, in percent.
	paceUpStep = 25
	// leastPace is the slowest pace above a full stop, in percent.
	leastPace = 20
)

// paceFilling slows the tasks that fill a worker's unused processors while a task
// that serves there comes near its target, and speeds them up again.
func (s *Scheduler) paceFilling(w *worker, now time.Time) {
	worst := 0.0
	serving := false
	for _, t := range w.tasks {
		if target := t.step.def.TailLatencyTargetMillis; target > 0 && t.phase == running && t.percent >= 100 {
			serving = true
			worst = max(worst, float64(t.usage)/float64(target))
		}
	}
	for _, t := range w.tasks {
		if !t.step.def.BestEffort || t.phase != running {
			continue
		}
		next := t.pace
		switch {
		case serving && worst > nearTarget && now.Sub(t.pacedAt) > paceDownEvery:
			next = t.pace / 2
			if next < leastPace {
				next = 0
			}
		case (!serving || worst < wellBelow) && t.pace < 100 && now.Sub(t.pacedAt) > paceUpEvery:
			next = min(100, t.pace+paceUpStep)
		}
		if next == t.pace {
			continue
		}
		s.note(Event{Kind: "run.paced", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: paceReason(next)})
		t.pace, t.pacedAt = next, now
		s.batch.Throttles = append(s.batch.Throttles, ThrottleRequest{Endpoint: w.endpoint(), Task: t.id, Attempt: t.attempt, Percent: next})
	}
}

func paceReason(percent int) string {
	switch {
	case percent == 0:
		return "stopped beside a task near its target"
	case percent == 100:
		return "full speed"
	default:
		return "slowed beside a task near its target"
	}
}
