package fleetentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// pollInterval is the delay between two polls, so that outcomes that arrive
	// together are handled together.
	pollInterval = 20 * time.Millisecond
	// idlePollInterval is the delay between polls of a worker without runs.
	idlePollInterval = 1400 * time.Millisecond
	// failedPollInterval is the delay after a failed poll.
	failedPollInterval = 200 * time.Millisecond
	// outcomeStoreTimeout is how long a poll waits for outcomes to be stored before
	// it extends the leases without that.
	outcomeStoreTimeout = 800 * time.Millisecond
)

// workerPoller polls one worker periodically.
type workerPoller struct {
	leader   *Leader
	endpoint fleet.Endpoint
	ctx      context.Context
	cancel   context.CancelFunc
	// term ends with the leader's term.
	term context.Context
	// delay is before the first poll.
	delay  time.Duration
	wake   chan struct{}
	stored chan struct{}
	// missed counts the consecutive polls without a response.
	missed atomic.Int32
}

// notifyStart signals that the worker has got a run.
func (p *workerPoller) notifyStart() { signal(p.wake) }

// notifyStored signals that outcomes have been stored.
func (p *workerPoller) notifyStored() { signal(p.stored) }

// clearStored forgets that earlier outcomes have been stored: a poll that does not
// acknowledge the newest ones would only return them again. The leader's lock is held.
func (p *workerPoller) clearStored() {
	select {
	case <-p.stored:
	default:
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (p *workerPoller) run(ctx context.Context) {
	sleep(ctx, p.delay)
	for ctx.Err() == nil {
		delay, unstored, ok := p.poll(ctx, true)
		if !ok {
			return
		}
		if unstored {
			p.waitFor(ctx, p.stored, outcomeStoreTimeout)
			delay = pollInterval
		}
		if delay > pollInterval {
			p.waitFor(ctx, p.wake, delay)
			continue
		}
		sleep(ctx, delay+latePollDelay(p.leader.lateness.Current()))
	}
}

func (p *workerPoller) waitFor(ctx context.Context, c chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-timer.C:
	}
}

// poll makes one poll, which waits for a change if longPoll is set; ok is false once
// the worker needs no poll. Two polls may be in flight at once.
func (p *workerPoller) poll(ctx context.Context, longPoll bool) (delay time.Duration, unstored, ok bool) {
	first := p.attempt(ctx, longPoll, false, 0)
	result := first
	if first.known && first.err != nil {
		result = p.afterFailure(ctx, first)
	}
	l := p.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if first.deadlineMillis > 0 {
		// This also concerns a poll of an incarnation that has been replaced meanwhile.
		l.handleLease(p.endpoint, first.deadlineMillis, first.status.ClockMillis, first.err, now)
	}
	if !result.known || ctx.Err() != nil {
		return 0, false, false
	}
	if result.err != nil {
		p.missed.Add(1)
		l.sched.HandlePollFailure(p.endpoint, result.err, now)
		l.flush(now)
		return failedPollInterval, false, true
	}
	p.missed.Store(0)
	p.clearStored()
	l.sched.HandleStatus(p.endpoint.WorkerID, &result.status, result.sent, now)
	if p.showsAnother(&result.status) {
		l.syncPollers(p.term) // Polls of the earlier incarnation find nothing more.
	}
	l.flush(now)
	l.wakePlanner()
	busy, unstored := l.sched.WorkerActivity(p.endpoint.WorkerID)
	if busy || result.busy {
		return pollInterval, unstored, true
	}
	return idlePollInterval, unstored, true
}

// showsAnother reports whether the status is that of another incarnation than the endpoint's.
func (p *workerPoller) showsAnother(status *fleet.WorkerStatus) bool {
	return status.StartedAtMillis != 0 && p.endpoint.StartedAtMillis != 0 && status.StartedAtMillis != p.endpoint.StartedAtMillis
}

// pollResult is the result of one attempt of a poll.
type pollResult struct {
	status fleet.WorkerStatus
	err    error
	sent   time.Time
	// deadlineMillis is the deadline that the request named; 0 for none.
	deadlineMillis int64
	// known means that the worker is to be polled, busy that it had runs.
	known, busy bool
}

// afterFailure makes a second attempt if the first had no response, could not verify its
// connection in time, or found another incarnation and sent nothing to it: the second names
// nothing of the earlier one, and its status shows the later one.
func (p *workerPoller) afterFailure(ctx context.Context, first pollResult) pollResult {
	code := provider.CodeOf(first.err)
	switch {
	case code == provider.CodeReplaced:
		p.leader.metrics.Add("looks_replaced", 1)
		return p.attempt(ctx, false, true, 0)
	case code == provider.CodeTimeout, provider.OutcomeOf(first.err) == provider.Unknown:
		return p.retry(ctx, first)
	default:
		return first
	}
}

// retry makes the second attempt after one without a response.
func (p *workerPoller) retry(ctx context.Context, first pollResult) pollResult {
	second := p.attempt(ctx, false, true, pollRetryTimeout)
	if second.known && second.err == nil && ctx.Err() == nil {
		l := p.leader
		if provider.OutcomeOf(first.err) == provider.Unknown {
			l.metrics.Add("looks_lost", 1)
		}
		l.mu.Lock()
		now := time.Now()
		if provider.CodeOf(first.err) == provider.CodeTimeout {
			l.callTimeouts.recordRetryResponse(now, now.Sub(second.sent))
		}
		l.mu.Unlock()
		second.busy = second.busy || first.busy
	}
	return second
}

// prepare returns the request of an attempt. The leader's lock is held.
func (p *workerPoller) prepare(repeat bool, now time.Time) (request fleet.PollRequest, known bool) {
	if repeat {
		return p.leader.sched.PrepareRepeat(p.endpoint.WorkerID)
	}
	return p.leader.sched.PreparePoll(p.endpoint.WorkerID, now, p.leader.journal.LeaderLeaseValid(now))
}

// attempt sends one poll and waits for its response up to the time beyond its own
// wait, or the timeout of a first attempt if that is 0. The repeat of an attempt without a
// response may reach a later incarnation of the worker.
func (p *workerPoller) attempt(ctx context.Context, longPoll, repeat bool, timeout time.Duration) pollResult {
	l := p.leader
	l.mu.Lock()
	result := pollResult{sent: time.Now()}
	request, known := p.prepare(repeat, result.sent)
	result.busy, _ = l.sched.WorkerActivity(p.endpoint.WorkerID)
	wait := time.Duration(0)
	if request.DeadlineMillis > 0 && longPoll {
		finishing, starting := l.sched.ExpectedChanges(p.endpoint.WorkerID)
		wait = l.callTimeouts.pollWait(result.sent, finishing, starting)
	}
	if timeout == 0 {
		timeout = l.callTimeouts.responseTimeout(result.sent)
	}
	timeout = afterMissedPolls(timeout, int(p.missed.Load()))
	l.mu.Unlock()
	result.known, result.deadlineMillis = known, request.DeadlineMillis
	if !known {
		return result
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	result.status, result.err = l.workers.Poll(callCtx, p.endpoint, request, wait)
	l.metrics.Add("looks", 1)
	return result
}

// syncPollers maintains one poller per worker. The lock is held.
func (l *Leader) syncPollers(ctx context.Context) {
	needed := map[string]bool{}
	for _, target := range l.sched.PollTargets() {
		id := target.Endpoint.WorkerID
		needed[id] = true
		delay := time.Duration(0)
		if p, known := l.pollers[id]; known {
			if p.endpoint == target.Endpoint {
				continue
			}
			p.cancel()
			delay = pollInterval // Each status may show another incarnation.
		}
		pollerCtx, cancel := context.WithCancel(ctx)
		p := &workerPoller{leader: l, endpoint: target.Endpoint, term: ctx, delay: delay, ctx: pollerCtx, cancel: cancel, wake: make(chan struct{}, 1), stored: make(chan struct{}, 1)}
		l.pollers[id] = p
		l.spawn(pollerCtx, p.run)
	}
	for id, p := range l.pollers {
		if !needed[id] {
			p.cancel()
			delete(l.pollers, id)
		}
	}
}
