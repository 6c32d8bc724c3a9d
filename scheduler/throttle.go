package scheduler

import "time"

const (
	// throttleThreshold is the fraction of a latency-sensitive task's tail target from
	// which best-effort tasks beside it are throttled.
	throttleThreshold = 0.85
	// recoverThreshold is the fraction below which throttling is relaxed.
	recoverThreshold = 0.6
	// throttleInterval and recoverInterval are the times between two changes: reports
	// cover the last half second.
	throttleInterval = 600 * time.Millisecond
	recoverInterval  = 1500 * time.Millisecond
	// recoverStep is how much CPU share is restored at once, in percent.
	recoverStep = 25
	// minCPUPercent is the smallest CPU share above a full stop, in percent.
	minCPUPercent = 20
)

// throttleBestEffort throttles a worker's best-effort tasks while a latency-sensitive
// task there comes near its target, and restores their CPU share afterwards.
func (s *Scheduler) throttleBestEffort(w *worker, now time.Time) {
	maxRatio := 0.0
	hasTarget := false
	for _, t := range w.tasks {
		if target := t.step.def.TailLatencyTargetMillis; target > 0 && t.phase == running && t.progress >= 100 {
			hasTarget = true
			maxRatio = max(maxRatio, float64(t.usage)/float64(target))
		}
	}
	for _, t := range w.tasks {
		if !t.step.def.BestEffort || t.phase != running {
			continue
		}
		next := t.cpuPercent
		switch {
		case hasTarget && maxRatio > throttleThreshold && now.Sub(t.throttledAt) > throttleInterval:
			next = t.cpuPercent / 2
			if next < minCPUPercent {
				next = 0
			}
		case (!hasTarget || maxRatio < recoverThreshold) && t.cpuPercent < 100 && now.Sub(t.throttledAt) > recoverInterval:
			next = min(100, t.cpuPercent+recoverStep)
		}
		if next == t.cpuPercent {
			continue
		}
		s.emit(Event{Kind: "run.paced", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: throttleReason(next)})
		t.cpuPercent, t.throttledAt = next, now
		s.batch.Throttles = append(s.batch.Throttles, ThrottleRequest{Endpoint: w.endpoint(), Task: t.id, Attempt: t.attempt, Percent: next})
	}
}

func throttleReason(percent int) string {
	switch {
	case percent == 0:
		return "stopped: a task on the worker is near its latency target"
	case percent == 100:
		return "full CPU share"
	default:
		return "throttled: a task on the worker is near its latency target"
	}
}
