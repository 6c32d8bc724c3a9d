package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// lateRequestWindow is for how long after its loss a request may still be executed, with a
// margin: the platform speaks of seconds.
const lateRequestWindow = time.Minute

// workerHistory is what is known of a worker beyond one incarnation: what concerns requests that
// another incarnation may execute than the one that they were meant for. It is kept while the
// worker is gone, and afterwards for lateRequestWindow.
type workerHistory struct {
	// startedAtMillis identifies the present incarnation; 0 if it is not known.
	startedAtMillis int64
	// token is the fencing token of requests to it. Each incarnation gets a higher one, so that
	// one that has been polled rejects what was sent to those before it and is executed late.
	token int64
	lease leaseHorizon
	// seenAt is when the worker was last known.
	seenAt time.Time
}

// historyOf returns the history of the worker, whose incarnation is that of the record now. A start
// time of 0 is not known: it stands for the incarnation that is.
func (s *Scheduler) historyOf(info fleet.Worker, now time.Time) *workerHistory {
	h, known := s.histories[info.ID]
	switch {
	case !known:
		h = &workerHistory{startedAtMillis: info.StartedAtMillis, token: max(s.cfg.FencingToken, s.lowestToken), seenAt: s.workersListedAt,
			lease: newLeaseHorizon(s.tookOverAt, now, s.cfg.PreviousLeaderWindow+s.cfg.LeaseDuration, max(s.cfg.LeaseDuration, s.cfg.MaxLease))}
		s.histories[info.ID] = h
	case h.startedAtMillis == 0:
		h.startedAtMillis = info.StartedAtMillis
	case info.StartedAtMillis != 0 && info.StartedAtMillis != h.startedAtMillis:
		h.startedAtMillis = info.StartedAtMillis
		h.lease.replaced(now)
		if last := s.cfg.FencingToken + max(1, s.cfg.FencingTokens) - 1; h.token < last {
			h.token++
		} else if !h.lease.sharesToken {
			h.lease.sharesToken = true
			s.emit(Event{Kind: "worker.tokens_exhausted", ID: info.ID, Reason: fmt.Sprintf("the leader has no token after %d for incarnation %d", last, info.StartedAtMillis)})
		}
	}
	return h
}

// updateToken sets the token of a worker whose incarnation was not known before. It may be another
// one than that to which earlier requests under the ID were sent.
func (s *Scheduler) updateToken(w *worker, info fleet.Worker, now time.Time) {
	w.fencingToken = s.historyOf(info, now).token
}

// dropWorker removes the worker and keeps its history. The list may have been read long ago.
func (s *Scheduler) dropWorker(id string, now time.Time) {
	if h, known := s.histories[id]; known {
		h.seenAt = now
	}
	delete(s.workers, id)
}

// forgetHistories forgets the workers that have been gone for long.
func (s *Scheduler) forgetHistories(now time.Time) {
	for id, h := range s.histories {
		if _, known := s.workers[id]; known {
			h.seenAt = now
		} else if now.Sub(h.seenAt) > lateRequestWindow {
			// The worker may come back, and has seen the token.
			s.lowestToken = max(s.lowestToken, h.token)
			delete(s.histories, id)
		}
	}
}

// handleFenced handles the rejection of a request to the endpoint for its token. The worker
// has seen a later leader, unless this one has sent it a higher token.
func (s *Scheduler) handleFenced(to fleet.Endpoint) {
	if h, known := s.histories[to.WorkerID]; known && to.FencingToken < h.token {
		return
	}
	s.fenced = true
}
