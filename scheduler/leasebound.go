package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// previousLeaderLease returns the longest that a lease granted by an earlier leader may run,
// counted from the takeover. An incarnation that has started lately may have got requests
// that were computed from the clock of an earlier one.
func (s *Scheduler) previousLeaderLease(startedAtMillis int64) time.Duration {
	longest := s.cfg.PreviousLeaderWindow + max(s.cfg.LeaseDuration, s.cfg.MaxLease)
	if s.tookOverAt.Sub(time.UnixMilli(startedAtMillis)) < longest {
		return longest
	}
	return s.cfg.PreviousLeaderWindow + s.cfg.LeaseDuration
}

// restoreLease applies the bound of the incarnation that a stored assignment names, which may
// have started later than the listed one.
func (s *Scheduler) restoreLease(w *worker, startedAtMillis int64) {
	if w.leaseStart.Equal(s.tookOverAt) {
		w.leaseDuration = max(w.leaseDuration, s.previousLeaderLease(startedAtMillis))
	}
}

// HandleLease applies what a response tells of the lease: a request has extended it up to
// the deadline, and the response shows the clock of the incarnation that handled it. Both
// are in milliseconds on that clock. An incarnation that has started since the deadline was
// computed extends its lease by more than the leader meant to give.
func (s *Scheduler) HandleLease(id string, deadlineMillis, clockMillis int64, now time.Time) {
	w, known := s.workers[id]
	if !known || deadlineMillis <= clockMillis || clockMillis <= 0 {
		return
	}
	granted := min(deadlineMillis-clockMillis, s.cfg.MaxLease.Milliseconds())
	w.extendLease(now, time.Duration(granted)*time.Millisecond)
}

// HandleLeaseInDoubt handles a request without a response, which may have extended the lease
// of the incarnation that has replaced the endpoint's one. A deadline of 0 extends none.
func (s *Scheduler) HandleLeaseInDoubt(to fleet.Endpoint, deadlineMillis int64, now time.Time) {
	w, known := s.workers[to.WorkerID]
	if !known || deadlineMillis <= 0 || w.info.StartedAtMillis == to.StartedAtMillis {
		return
	}
	w.extendLease(now, s.cfg.MaxLease)
}
