package job

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Preempt asks the jobs that have run longest on the pools for a checkpoint
// and a stop, so that up to the given number of slots come free, and returns
// how many it asked. Without pools any job will do. The jobs go on elsewhere
// later. It implements admission.Preempter.
func (r *Runner) Preempt(_ context.Context, pools []string, slots int) int {
	asked := 0
	for r.givingWay(pools) < slots && r.preemptOne(pools) {
		asked++
	}
	return asked
}

// givingWay counts the jobs on the pools that were asked before and still run.
func (r *Runner) givingWay(pools []string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, a := range r.active {
		if a.stop.Load() && a.givesWay(pools) {
			count++
		}
	}
	return count
}

func (r *Runner) preemptOne(pools []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var oldest *run
	for _, a := range r.active {
		if !a.givesWay(pools) || a.stop.Load() {
			continue
		}
		if oldest == nil || a.started.Load() < oldest.started.Load() {
			oldest = a
		}
	}
	if oldest == nil {
		return false
	}
	oldest.stop.Store(true)
	return true
}

// givesWay reports whether the job runs on one of the pools and may be
// started again. Without pools any will do.
func (a *run) givesWay(pools []string) bool {
	if a.r == nil || a.started.Load() == 0 {
		return false
	}
	if a.protected(a.r.cfg.Clock.Now()) && !a.r.stopping.Load() {
		return false
	}
	job, ok := a.mine()
	if !ok || !job.Idempotent || job.State != statemachine.JobRunning {
		return false
	}
	return len(pools) == 0 || slices.ContainsFunc(pools, func(p string) bool { return slices.Contains(job.Pools, p) })
}

// Stop begins no more jobs, stops those that go on elsewhere, and waits until
// none runs under the entry's allotments.
func (r *Runner) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	r.stopPlacing()
	for r.ActiveJobs() > 0 {
		r.Preempt(ctx, nil, maxActive)
		select {
		case <-ctx.Done():
			return errors.Newf("%d jobs are not handed over", r.ActiveJobs())
		case <-r.cfg.Clock.After(scanInterval):
		}
	}
	return nil
}
