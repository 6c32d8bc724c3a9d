package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

const (
	// endsFreshFor is how long the expected ends of a worker's tasks are used before they
	// are computed again: statuses come no more often.
	endsFreshFor = 300 * time.Millisecond
	// extensionWeight is how much the fullest share of a VM weighs against the time by
	// which a task keeps the VM in use longer, at most maxExtension. Fullness decides
	// unless two workers are similar.
	extensionWeight = 0.2
	maxExtension    = 2 * time.Second
	// strandedWeight is the same for the part of the VM's CPU that no waiting task can use
	// because no memory is left beside it.
	strandedWeight = 0.2
)

// packingScore rates how well a task that is expected to end at the given time suits the
// worker, beside its fullness. It answers a change of turns: a VM moves to another pool
// only once its last task has ended, so tasks that end together share VMs. It also
// answers workers full of memory: what is left free must suit the tasks that wait.
func (s *Scheduler) packingScore(t *task, w *worker, end time.Time, pool *poolRound, now time.Time) float64 {
	score := 0.0
	if extension := end.Sub(s.workerEndsAt(w, now)); extension > 0 {
		score -= extensionWeight * float64(min(extension, maxExtension)) / float64(maxExtension)
	}
	return score - strandedWeight*pool.stranded(w.free().Minus(t.resources()), w.info.Capacity)
}

// stranded returns the part of the worker's CPU that tasks of the mean waiting shape
// cannot use for lack of memory.
func (p *poolRound) stranded(free, capacity fleet.Resources) float64 {
	if p.waiting.MemMB == 0 || p.waiting.MilliCPU == 0 || capacity.MilliCPU == 0 {
		return 0
	}
	usable := float64(max(0, free.MemMB)) * float64(p.waiting.MilliCPU) / float64(p.waiting.MemMB)
	return max(0, float64(free.MilliCPU)-usable) / float64(capacity.MilliCPU)
}

// workerEndsAt returns when the worker's last task is expected to end; now for an empty
// one, and a time that no task exceeds while one runs until it is cancelled.
func (s *Scheduler) workerEndsAt(w *worker, now time.Time) time.Time {
	if len(w.tasks) == 0 {
		return now
	}
	if now.Sub(w.endsComputedAt) < endsFreshFor {
		return w.endsAt
	}
	w.endsAt, w.endsComputedAt = now, now
	for _, t := range w.tasks {
		end := s.expectedEnd(t, now)
		if end.IsZero() {
			end = now.Add(time.Hour)
		}
		w.endsAt = laterOf(w.endsAt, end)
	}
	return w.endsAt
}

// noteAssignment brings the worker's expected end and its reservation up to date.
func (s *Scheduler) noteAssignment(t *task, w *worker, now time.Time) {
	if !s.cfg.Policies.Lookahead {
		return
	}
	end := now.Add(s.expectedRun(t.step))
	w.endsAt = laterOf(w.endsAt, end)
	s.endReservation(t.step)
	if r := w.reservation; r != nil && end.After(r.at) {
		r.spare = r.spare.Minus(t.resources())
	}
}
