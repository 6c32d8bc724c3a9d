package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// restoreLease bounds the lease of a worker with a stored assignment. It may be as long as
// the platform allows, if the worker has lately replaced an incarnation by whose clock an
// earlier leader extended it: that leader has noted it, or the list names another incarnation
// than the assignment does.
func (s *Scheduler) restoreLease(w *worker, a ledger.Assignment) {
	listed := w.info.StartedAtMillis
	if a.WorkerReplaced && a.WorkerStartedAtMillis == listed {
		w.replaced = true
	}
	differ := listed != 0 && a.WorkerStartedAtMillis != 0 && a.WorkerStartedAtMillis != listed
	if !a.WorkerReplaced && !differ || !w.leaseStart.Equal(s.tookOverAt) {
		return
	}
	longest := s.cfg.PreviousLeaderWindow + max(s.cfg.LeaseDuration, s.cfg.MaxLease)
	if age := s.tookOverAt.Sub(time.UnixMilli(max(listed, a.WorkerStartedAtMillis))); age < longest {
		w.leaseDuration = longest
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
