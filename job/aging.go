package job

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// tryMarkAged marks the job as aged, which lets it wait for a slot in the
// admission queue with the requests, and reports whether it did. The job must
// have waited for agingThreshold.
func (r *Runner) tryMarkAged(e *execution) bool {
	now := r.cfg.Clock.Now()
	if e.queuedAt.IsZero() || now.Sub(e.queuedAt) < agingThreshold {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	aged := 0
	for _, other := range r.active {
		if other.countsTowardAgedLimit(now) {
			aged++
		}
	}
	if aged >= maxAgedJobs {
		return false
	}
	e.aged.Store(true)
	return true
}

// countsTowardAgedLimit reports whether the job counts against maxAgedJobs. A
// job that cannot be preempted counts until it finishes.
func (e *execution) countsTowardAgedLimit(now time.Time) bool {
	return e.aged.Load() && (e.atMostOnce || e.isProtectedFromPreemption(now))
}

// isProtectedFromPreemption reports whether the job is aged and within
// preemptionProtection of its start.
func (e *execution) isProtectedFromPreemption(now time.Time) bool {
	started := e.startedAtMicros.Load()
	return e.aged.Load() && (started == 0 || now.Sub(time.UnixMicro(started)) < preemptionProtection)
}

// updateQueuedAt records since when each of the entry's queued jobs has waited,
// and removes the jobs that are no longer queued.
func (r *Runner) updateQueuedAt(own []*statemachine.Job) {
	now := r.cfg.Clock.Now()
	next := make(map[string]time.Time, len(own))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range own {
		if job.State != statemachine.JobQueued {
			continue
		}
		next[job.ID] = now
		if since, ok := r.queuedAt[job.ID]; ok {
			next[job.ID] = since
		}
	}
	r.queuedAt = next
}
