package job

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// mayAge reports whether the job has waited so long that it seeks a slot in
// line with the requests, and marks it so.
func (r *Runner) mayAge(a *run) bool {
	now := r.cfg.Clock.Now()
	if a.queuedAt.IsZero() || now.Sub(a.queuedAt) < agedAfter {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	aged := 0
	for _, other := range r.active {
		if other.countsAsAged(now) {
			aged++
		}
	}
	if aged >= agedAtOnce {
		return false
	}
	a.aged.Store(true)
	return true
}

// countsAsAged reports whether the job takes one of the places of aged jobs. A
// job that never gives way keeps it to its end.
func (a *run) countsAsAged(now time.Time) bool {
	return a.aged.Load() && (a.once || a.protected(now))
}

// protected reports whether the job is an aged one that does not give way yet.
func (a *run) protected(now time.Time) bool {
	started := a.started.Load()
	return a.aged.Load() && (started == 0 || now.Sub(time.UnixMicro(started)) < protectedFor)
}

// noteQueued remembers since when the entry's jobs wait, and forgets those that
// do not wait any more.
func (r *Runner) noteQueued(own []*statemachine.Job) {
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
