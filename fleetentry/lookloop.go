package fleetentry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// lookGap is the pause between two looks, so that ends that come together
	// are taken together.
	lookGap = 20 * time.Millisecond
	// idleLook is the pause between looks at a worker without runs.
	idleLook = 1400 * time.Millisecond
	// missedLook is the pause after a look that failed.
	missedLook = 200 * time.Millisecond
	// storePatience is how long a look waits for ends to be stored before it
	// extends the leases without that.
	storePatience = 800 * time.Millisecond
)

// lookLoop looks at one worker again and again.
type lookLoop struct {
	owner  *Leader
	to     fleet.Endpoint
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	stored chan struct{}
}

// busy tells that the worker has got a run.
func (l *lookLoop) busy() { signal(l.wake) }

// storedThrough tells that ends have been stored.
func (l *lookLoop) storedThrough() { signal(l.stored) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (l *lookLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, unstored, ok := l.look(ctx, true)
		if !ok {
			return
		}
		if unstored {
			l.await(ctx, l.stored, storePatience)
			pause = lookGap
		}
		if pause > lookGap {
			l.await(ctx, l.wake, pause)
			continue
		}
		sleep(ctx, pause)
	}
}

func (l *lookLoop) await(ctx context.Context, c chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-timer.C:
	}
}

// look makes one look, which waits for an end if it is patient; ok is false once
// there is nothing to look at. Two looks may be under way at once.
func (l *lookLoop) look(ctx context.Context, patient bool) (pause time.Duration, unstored, ok bool) {
	a := l.try(ctx, patient, 0)
	if a.known && a.err != nil && provider.OutcomeOf(a.err) == provider.Unknown {
		a = l.tryAgain(ctx, a)
	}
	if !a.known || ctx.Err() != nil {
		return 0, false, false
	}
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if a.err != nil {
		o.sched.HandlePollFailure(l.to.WorkerID, a.err, now)
		o.flush(now)
		return missedLook, false, true
	}
	o.sched.HandleStatus(l.to.WorkerID, &a.look, a.sent, now)
	o.flush(now)
	o.nudge()
	still, unstored := o.sched.WorkerActivity(l.to.WorkerID)
	if still || a.busy {
		return lookGap, unstored, true
	}
	return idleLook, unstored, true
}

// lookAnswered is what became of one try of a look.
type lookAnswered struct {
	look fleet.WorkerStatus
	err  error
	sent time.Time
	// known tells that the worker is one to look at, busy that it had runs.
	known, busy bool
}

// tryAgain makes the second try after one without an answer.
func (l *lookLoop) tryAgain(ctx context.Context, first lookAnswered) lookAnswered {
	second := l.try(ctx, false, lookAgain)
	if second.known && second.err == nil && ctx.Err() == nil {
		o := l.owner
		o.metrics.Add("looks_lost", 1)
		o.mu.Lock()
		now := time.Now()
		o.callPace.answeredAgain(now, now.Sub(second.sent))
		o.mu.Unlock()
		second.busy = second.busy || first.busy
	}
	return second
}

// try sends one look and waits for its answer up to the time beyond its own wait, or
// as long as suits a first try if that is 0.
func (l *lookLoop) try(ctx context.Context, patient bool, beyond time.Duration) lookAnswered {
	o := l.owner
	o.mu.Lock()
	out := lookAnswered{sent: time.Now()}
	order, known := o.sched.PreparePoll(l.to.WorkerID, out.sent, o.journal.LeaderLeaseValid(out.sent))
	out.busy, _ = o.sched.WorkerActivity(l.to.WorkerID)
	wait := time.Duration(0)
	if order.DeadlineMillis > 0 && patient {
		ends, starts := o.sched.ExpectedChanges(l.to.WorkerID)
		wait = o.callPace.wait(out.sent, ends, starts)
	}
	if beyond == 0 {
		beyond = o.callPace.answer(out.sent)
	}
	o.mu.Unlock()
	out.known = known
	if !known {
		return out
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+beyond)
	defer cancel()
	out.look, out.err = o.workers.Poll(callCtx, l.to, order, wait)
	o.metrics.Add("looks", 1)
	return out
}

// followWorkers keeps one look loop for each worker. The lock is held.
func (o *Leader) followWorkers(ctx context.Context) {
	wanted := map[string]bool{}
	for _, target := range o.sched.PollTargets() {
		id := target.Endpoint.WorkerID
		wanted[id] = true
		if l, known := o.looks[id]; known {
			if l.to == target.Endpoint {
				continue
			}
			l.cancel()
		}
		loopCtx, cancel := context.WithCancel(ctx)
		l := &lookLoop{owner: o, to: target.Endpoint, ctx: loopCtx, cancel: cancel, wake: make(chan struct{}, 1), stored: make(chan struct{}, 1)}
		o.looks[id] = l
		o.spawn(loopCtx, l.run)
	}
	for id, l := range o.looks {
		if !wanted[id] {
			l.cancel()
			delete(o.looks, id)
		}
	}
}
