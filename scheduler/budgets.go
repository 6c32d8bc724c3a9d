package scheduler

import "time"

// settleTime is how long a new owner waits before it disrupts lasting tasks:
// stops and orders on VMs of the last owner may still take effect.
const settleTime = 2 * time.Second

// settled reports whether nothing that the last owner ordered can take effect
// any more.
func (s *Scheduler) settled(now time.Time) bool {
	return now.Sub(s.tookAt) > settleTime+s.cfg.MaxStopTime
}

// keepsBudgets reports whether all that runs on the worker may be ended at once.
func (s *Scheduler) keepsBudgets(w *worker, now time.Time) bool {
	ending := map[*step]int{}
	for _, t := range w.tasks {
		if t.step.def.HasDisruptionBudget && !t.step.run.job.ended {
			ending[t.step]++
		}
	}
	if len(ending) > 0 && !s.settled(now) {
		return false
	}
	for st, n := range ending {
		if st.away(w)+n > st.def.MaxUnavailable {
			return false
		}
	}
	return true
}

// evict stops lasting tasks on a worker that is to lose all its runs, as far as
// their steps' budgets allow, so that they start elsewhere in good time. Each step
// goes at its own pace: waiting until all steps on a worker may miss their tasks at
// once takes several times as long.
func (s *Scheduler) evict(w *worker, now time.Time) {
	if !w.looked || w.missed > 0 || !s.settled(now) {
		return
	}
	for _, t := range w.tasks {
		st := t.step
		if !st.def.LongRunning || t.phase != running || st.run.job.ended {
			continue
		}
		if !st.def.HasDisruptionBudget {
			continue
		}
		if st.awayAnywhere() < st.def.MaxUnavailable {
			s.note(Event{Kind: "task.evicted", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: "its VM is to be maintained"})
			s.orderStop(t, now)
		}
	}
}

// awayAnywhere counts the step's tasks that are not known to be at work.
func (s *step) awayAnywhere() int { return s.away(nil) }

// away counts the step's tasks elsewhere that are not known to be at work.
func (s *step) away(except *worker) int {
	n := 0
	for _, t := range s.tasks {
		if t.worker == except && t.worker != nil {
			continue
		}
		if t.phase != running || t.percent < 100 || t.worker.missed > 0 || t.worker.ending {
			n++
		}
	}
	return n
}
