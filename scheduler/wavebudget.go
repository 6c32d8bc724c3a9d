package scheduler

import "time"

// relocationTime is how long a long-running task takes to move off a VM: its stop, the
// record of its new assignment, its start, and its first status at work.
const relocationTime = 2 * time.Second

// budgetTime returns how long the disruption budgets make the wave take at least: the tasks of
// a step move one after the other, as many at once as may be unavailable. A wave that leaves
// VMs with such tasks for its last rounds ends late, however many VMs may be down at once.
func (s *Scheduler) budgetTime(w *wave) time.Duration {
	tasks := map[*step]int{}
	for _, name := range w.def.VMs {
		if v, listed := s.vms[name]; listed && !w.startedVMs[name] {
			s.countBudgeted(v, tasks)
		}
	}
	rounds := 0
	for st, n := range tasks {
		rounds = max(rounds, (n+st.def.MaxUnavailable-1)/st.def.MaxUnavailable)
	}
	return time.Duration(rounds) * relocationTime
}

// countBudgeted adds the VM's tasks whose steps have a disruption budget; a budget of none
// lets nothing move.
func (s *Scheduler) countBudgeted(v *vm, tasks map[*step]int) {
	w := s.workerOf(v)
	if w == nil {
		return
	}
	for _, t := range w.tasks {
		if st := t.step; st.def.HasDisruptionBudget && st.def.MaxUnavailable > 0 && st.def.LongRunning && !st.occurrence.job.finished {
			tasks[st]++
		}
	}
}
