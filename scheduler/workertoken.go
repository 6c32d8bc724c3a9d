package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// lateRequestWindow is for how long after its loss a request may still be executed, with a
// margin: the platform speaks of seconds.
const lateRequestWindow = time.Minute

// workerToken is the fencing token of the requests to the present incarnation of a worker.
// Each incarnation under an ID gets a higher one, so that one that has been polled rejects
// what was sent to those before it and is executed late.
type workerToken struct {
	startedAtMillis int64
	token           int64
	// seenAt is when the worker was last known.
	seenAt time.Time
}

// tokenFor returns the token of requests to the incarnation. A start time of 0 is not known:
// it stands for the one that is.
func (s *Scheduler) tokenFor(info fleet.Worker) int64 {
	t, known := s.workerTokens[info.ID]
	switch {
	case !known:
		t = &workerToken{startedAtMillis: info.StartedAtMillis, token: s.cfg.FencingToken, seenAt: s.workersListedAt}
		s.workerTokens[info.ID] = t
	case t.startedAtMillis == 0:
		t.startedAtMillis = info.StartedAtMillis
	case info.StartedAtMillis != 0 && info.StartedAtMillis != t.startedAtMillis:
		t.startedAtMillis = info.StartedAtMillis
		t.token = min(t.token+1, s.cfg.FencingToken+max(1, s.cfg.FencingTokens)-1)
	}
	return t.token
}

// updateToken sets the token of a worker whose incarnation was not known before. It may be another
// one than that to which earlier requests under the ID were sent.
func (s *Scheduler) updateToken(w *worker, info fleet.Worker, now time.Time) {
	if token := s.tokenFor(info); token != w.fencingToken {
		w.fencingToken = token
		w.replaced, w.replacedAt = true, now
	}
}

// forgetTokens forgets the tokens of workers that have been gone for long.
func (s *Scheduler) forgetTokens(now time.Time) {
	for id, t := range s.workerTokens {
		if _, known := s.workers[id]; known {
			t.seenAt = now
		} else if now.Sub(t.seenAt) > lateRequestWindow {
			delete(s.workerTokens, id)
		}
	}
}

// handleFenced handles the rejection of a request to the endpoint for its token. The worker
// has seen a later leader, unless this one has sent it a higher token.
func (s *Scheduler) handleFenced(to fleet.Endpoint) {
	if t, known := s.workerTokens[to.WorkerID]; known && to.FencingToken < t.token {
		return
	}
	s.fenced = true
}
