package job

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Preempt requests a checkpoint and a stop of the jobs that have run longest on
// the pools, so that up to the given number of slots become free, and returns
// the number of requests. Without pools any job qualifies. The jobs resume
// elsewhere later. It implements admission.Preempter.
func (r *Runner) Preempt(_ context.Context, pools []string, slots int) int {
	requested := 0
	for r.countYielding(pools) < slots && r.preemptOne(pools) {
		requested++
	}
	return requested
}

// countYielding counts the jobs on the pools that were preempted and still run.
func (r *Runner) countYielding(pools []string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.active {
		if e.stopRequested.Load() && e.isPreemptible(pools) {
			count++
		}
	}
	return count
}

func (r *Runner) preemptOne(pools []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var oldest *execution
	for _, e := range r.active {
		if !e.isPreemptible(pools) || e.stopRequested.Load() {
			continue
		}
		if oldest == nil || e.startedAtMicros.Load() < oldest.startedAtMicros.Load() {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	oldest.stopRequested.Store(true)
	return true
}

// isPreemptible reports whether the job runs on one of the pools, or on any if
// none is given, and may be started again.
func (e *execution) isPreemptible(pools []string) bool {
	if e.runner == nil || e.startedAtMicros.Load() == 0 {
		return false
	}
	if e.isProtectedFromPreemption(e.runner.cfg.Clock.Now()) && !e.runner.stopping.Load() {
		return false
	}
	job, ok := e.ownedJob()
	if !ok || !job.Idempotent || job.State != statemachine.JobRunning {
		return false
	}
	return len(pools) == 0 || slices.ContainsFunc(pools, func(p string) bool { return slices.Contains(job.Pools, p) })
}

// Stop starts no more jobs, stops those that can resume elsewhere, and waits
// until no job runs under the entry's allotments.
func (r *Runner) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	r.cancelPlacement()
	for r.ActiveJobs() > 0 {
		r.Preempt(ctx, nil, maxActiveJobs)
		select {
		case <-ctx.Done():
			return errors.Newf("%d jobs have not stopped", r.ActiveJobs())
		case <-r.cfg.Clock.After(scanInterval):
		}
	}
	return nil
}
