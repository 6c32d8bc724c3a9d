package scheduler

import "time"

// stabilizationPeriod is how long a new leader waits before it disrupts long-running
// tasks: requests of the previous leader may still take effect.
const stabilizationPeriod = 2 * time.Second

// stabilized reports whether requests of the previous leader can no longer take effect.
func (s *Scheduler) stabilized(now time.Time) bool {
	return now.Sub(s.tookOverAt) > stabilizationPeriod+s.cfg.MaxStopTime
}

// withinDisruptionBudgets reports whether all runs on the worker may be ended at once.
func (s *Scheduler) withinDisruptionBudgets(w *worker, now time.Time) bool {
	affected := map[*step]int{}
	for _, t := range w.tasks {
		if t.step.def.HasDisruptionBudget && !t.step.occurrence.job.finished {
			affected[t.step]++
		}
	}
	if len(affected) > 0 && !s.stabilized(now) {
		return false
	}
	for st, n := range affected {
		if st.unavailableExcept(w, now)+n > st.def.MaxUnavailable {
			return false
		}
	}
	return true
}

// evictLongRunning stops long-running tasks on a worker that is to be drained, within
// their disruption budgets, so that they restart elsewhere in time. Each step is
// evicted independently: waiting until all steps on a worker have budget at the same
// time takes several times as long.
//
// The reason is logged, and allowed, if given, decides for each task whose step's budget
// allows the stop.
func (s *Scheduler) evictLongRunning(w *worker, now time.Time, reason string, allowed func(*task) bool) {
	if !w.polled || w.missedPolls > 0 || !s.stabilized(now) {
		return
	}
	for _, t := range w.tasks {
		st := t.step
		if !st.def.LongRunning || t.phase != running || st.occurrence.job.finished {
			continue
		}
		if !st.def.HasDisruptionBudget {
			continue
		}
		if st.unavailable(now) < st.def.MaxUnavailable && (allowed == nil || allowed(t)) {
			s.emit(Event{Kind: "task.evicted", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: reason})
			s.requestStop(t, now)
		}
	}
}

// unavailable counts the step's tasks that are not known to be running and ready.
func (s *step) unavailable(now time.Time) int { return s.unavailableExcept(nil, now) }

// unavailableExcept counts the unavailable tasks, without those on the given worker. A
// status proves little once it is old: a leader that is short of processor time polls
// late, and leases expire meanwhile.
func (s *step) unavailableExcept(excluded *worker, now time.Time) int {
	n := 0
	for _, t := range s.tasks {
		if t.worker == excluded && t.worker != nil {
			continue
		}
		if t.phase != running || t.progress < 100 || t.worker.missedPolls > 0 || t.worker.operationPending || now.Sub(t.worker.lastPollAt) >= statusFreshFor {
			n++
		}
	}
	return n
}
