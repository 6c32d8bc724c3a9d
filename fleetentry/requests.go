package fleetentry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

const (
	// adviceTimeout bounds a request to the advice service.
	adviceTimeout = 3 * time.Second
)

// sendStart sends one start request and handles the response. A worker that has been
// replaced is polled at once: the poll shows the later incarnation.
func (l *Leader) sendStart(s scheduler.StartRequest) {
	clock, err := l.startWithRetries(s)
	l.handleStartResponse(s, clock, err)
	if provider.CodeOf(err) == provider.CodeReplaced {
		l.metrics.Add("starts_replaced", 1)
		l.pollNow(s.Endpoint.WorkerID)
	}
}

func (l *Leader) handleStartResponse(s scheduler.StartRequest, clock int64, err error) {
	if err != nil {
		l.log.Info("start failed", "request", s.Request.Task.String(), "worker", s.Endpoint.WorkerID, "attempt", s.Request.Attempt, "error", err)
	}
	l.metrics.Add("starts", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.handleLease(s.Endpoint, s.Request.DeadlineMillis, clock, err, now)
	l.sched.HandleStartResponse(&s.Request, s.Endpoint, err, now)
	if p, known := l.pollers[s.Endpoint.WorkerID]; known {
		p.notifyStart()
	}
	l.flush(now)
	if err != nil {
		l.wakePlanner()
	}
}

// startWithRetries sends the start, and retries if there is no response. A refusal of
// a retry says nothing of earlier attempts, which may still be executed. A start that is
// settled meanwhile is not repeated: its run may have ended, and the worker restarted.
//
// An attempt goes to the endpoint's incarnation only. If another one answers at the first
// attempt (CodeReplaced), nothing has been sent. After an attempt without a response, only the
// earlier incarnation can have executed that one; it stays in doubt all the same, since that
// the earlier one has ended, and its runs with it, is for the polls to show. An attempt whose
// connection could not be verified in time sent nothing, and is repeated.
// It returns the worker's clock of the response, 0 if there is none.
func (l *Leader) startWithRetries(s scheduler.StartRequest) (clock int64, err error) {
	var inDoubt, previous error
	for _, timeout := range l.attemptTimeouts() {
		if previous != nil && l.startSettled(&s.Request) {
			break
		}
		now := time.Now()
		if !l.journal.LeaderLeaseValid(now) {
			if inDoubt != nil {
				return 0, inDoubt
			}
			return 0, &provider.Error{Op: "worker.start", Outcome: provider.Refused, Code: provider.CodeLeaseExpired, Message: "the leader lease has expired"}
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		clock, err := l.workers.Start(ctx, s.Endpoint, s.Request)
		cancel()
		l.recordAttempt(previous, time.Since(now), err)
		l.metrics.Observe("start", time.Since(now))
		if err == nil || resolvesEarlierAttempts(err) {
			return clock, err
		}
		previous = err
		if provider.OutcomeOf(err) == provider.Refused && provider.CodeOf(err) == provider.CodeTimeout {
			continue
		}
		if provider.OutcomeOf(err) != provider.Unknown {
			if inDoubt != nil {
				return 0, inDoubt
			}
			return clock, err
		}
		inDoubt = err
		if provider.CodeOf(err) == provider.CodeTruncated {
			l.pollNow(s.Endpoint.WorkerID)
		}
	}
	if inDoubt == nil {
		return 0, previous
	}
	return 0, inDoubt
}

// pollNow polls the worker: one that has closed a connection may have restarted.
func (l *Leader) pollNow(workerID string) {
	l.mu.Lock()
	p, known := l.pollers[workerID]
	l.mu.Unlock()
	if known {
		p.poll(p.ctx, false)
	}
}

// handleLease records how far a request with a deadline may have extended the lease on the
// worker. The lock is held.
func (l *Leader) handleLease(to fleet.Endpoint, deadlineMillis, clockMillis int64, err error, now time.Time) {
	if err != nil && provider.OutcomeOf(err) == provider.Unknown {
		l.sched.HandleLeaseInDoubt(to, deadlineMillis, now)
		return
	}
	if err != nil && clockMillis == 0 {
		return // It was refused before its deadline counted, and shows no clock.
	}
	l.sched.HandleLease(to.WorkerID, deadlineMillis, clockMillis, now)
}

func (l *Leader) startSettled(request *fleet.StartRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sched.StartSettled(request)
}

// attemptTimeouts returns the timeouts of the next request's attempts.
func (l *Leader) attemptTimeouts() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.callTimeouts.attemptTimeouts(time.Now())
}

// recordAttempt records the result of an attempt: a prompt response after one that timed
// out shows that calls are lost. A connection that the worker has closed shows nothing.
func (l *Leader) recordAttempt(previous error, latency time.Duration, err error) {
	if provider.CodeOf(previous) != provider.CodeTimeout || err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callTimeouts.recordRetryResponse(time.Now(), latency)
}

// resolvesEarlierAttempts reports whether a refusal also resolves earlier attempts.
func resolvesEarlierAttempts(err error) bool {
	switch provider.CodeOf(err) {
	case provider.CodeFenced, provider.CodeWrongIncarnation, provider.CodeSuperseded:
		return true
	}
	return false
}

// sendStop sends one stop request and handles the response.
func (l *Leader) sendStop(s scheduler.StopRequest) {
	if s.Endpoint.Address == "" {
		return
	}
	var err error
	for _, timeout := range l.attemptTimeouts() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		_, err = l.workers.Stop(ctx, s.Endpoint, s.Task, s.Attempt, s.Endpoint.FencingToken)
		cancel()
		if err == nil || provider.OutcomeOf(err) != provider.Unknown {
			break
		}
	}
	if err != nil {
		l.log.Info("stop failed", "request", s.Task.String(), "worker", s.Endpoint.WorkerID, "attempt", s.Attempt, "error", err)
	}
	l.metrics.Add("stops", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sched.HandleStopResponse(&s, err, now)
	l.flush(now)
}

// sendThrottle sends one request to limit a run to a share of its speed.
func (l *Leader) sendThrottle(p scheduler.ThrottleRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), defaultAttemptTimeouts[len(defaultAttemptTimeouts)-1])
	defer cancel()
	if _, err := l.workers.Throttle(ctx, p.Endpoint, p.Task, p.Attempt, p.Percent, p.Endpoint.FencingToken); err != nil {
		l.log.Info("throttle failed", "request", p.Task.String(), "worker", p.Endpoint.WorkerID, "percent", p.Percent, "error", err)
	}
	l.metrics.Add("paces", 1)
}

// requestAdvice queries the advice service for a step.
func (l *Leader) requestAdvice(q scheduler.AdviceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
	defer cancel()
	tickets, valid, err := l.advice.Request(ctx, q.Step, q.Workers)
	if err != nil {
		l.log.Info("advice request failed", "request", q.Step, "error", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sched.HandleAdvice(q, tickets, valid, err, now)
	l.flush(now)
	l.wakePlanner()
}
