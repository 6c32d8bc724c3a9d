package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// restoreLease applies what a stored assignment tells of the worker's leases: an earlier leader
// has noted that it has replaced another incarnation, or the list names another one than the
// assignment does. The time of day of either machine does not count.
func (s *Scheduler) restoreLease(w *worker, a ledger.Assignment) {
	differ := w.info.StartedAtMillis != 0 && a.WorkerStartedAtMillis != 0 && a.WorkerStartedAtMillis != w.info.StartedAtMillis
	if a.WorkerReplaced || differ {
		w.lease.restored(s.tookOverAt, s.cfg.PreviousLeaderWindow)
	}
}

// HandleLease applies what a response tells of the lease: a request has extended it up to
// the deadline, and the response shows the clock of the incarnation that handled it. Both
// are in milliseconds on that clock.
func (s *Scheduler) HandleLease(id string, deadlineMillis, clockMillis int64, now time.Time) {
	h, known := s.histories[id]
	if !known || deadlineMillis <= clockMillis {
		return
	}
	if h.lease.answered(now, deadlineMillis, clockMillis) {
		s.emitForeignLease(id, fmt.Sprintf("a response shows a clock of %d ms, the request's deadline was %d ms", clockMillis, deadlineMillis))
	}
}

// HandleLeaseInDoubt handles a request without a response, which may have extended the lease
// of the incarnation that has replaced the endpoint's one. A deadline of 0 extends none.
func (s *Scheduler) HandleLeaseInDoubt(to fleet.Endpoint, deadlineMillis int64, now time.Time) {
	h, known := s.histories[to.WorkerID]
	if !known || deadlineMillis <= 0 || h.startedAtMillis == to.StartedAtMillis {
		return
	}
	h.lease.unanswered(now)
	s.emitForeignLease(to.WorkerID, fmt.Sprintf("no response to a request that was meant for incarnation %d, known is %d", to.StartedAtMillis, h.startedAtMillis))
}

// emitForeignLease logs that a request may have extended the lease of another incarnation than the
// one that it was meant for.
func (s *Scheduler) emitForeignLease(id, reason string) {
	s.emit(Event{Kind: "worker.foreign_lease", ID: id, Reason: reason})
}
