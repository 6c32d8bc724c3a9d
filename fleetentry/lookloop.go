package fleetentry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

const (
	// lookWait is how long a look at a worker with runs waits for an end. Each
	// look is priced; an end ends the wait.
	lookWait = 900 * time.Millisecond
	// lookTimeout bounds a look beyond its wait.
	lookTimeout = 700 * time.Millisecond
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
	owner  *Owner
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
	o := l.owner
	id := l.to.WorkerID
	o.mu.Lock()
	sent := time.Now()
	authorized := o.journal.Authorized(sent)
	order, known := o.sched.PrepareLook(id, sent, authorized)
	busy, _ := o.sched.Busy(id)
	o.mu.Unlock()
	if !known {
		return 0, false, false
	}
	wait := time.Duration(0)
	if order.DeadlineMillis > 0 && patient {
		wait = lookWait
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+lookTimeout)
	look, err := o.workers.Look(callCtx, l.to, order, wait)
	cancel()
	if ctx.Err() != nil {
		return 0, false, false
	}
	o.metrics.Add("looks", 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if err != nil {
		o.sched.LookFailed(id, err, now)
		o.flush(now)
		return missedLook, false, true
	}
	o.sched.Looked(id, &look, sent, now)
	o.flush(now)
	o.nudge()
	still, unstored := o.sched.Busy(id)
	switch {
	case still || busy:
		return lookGap, unstored, true
	default:
		return idleLook, unstored, true
	}
}

// followWorkers keeps one look loop for each worker. The lock is held.
func (o *Owner) followWorkers(ctx context.Context) {
	wanted := map[string]bool{}
	for _, target := range o.sched.Targets() {
		id := target.To.WorkerID
		wanted[id] = true
		if l, known := o.looks[id]; known {
			if l.to == target.To {
				continue
			}
			l.cancel()
		}
		loopCtx, cancel := context.WithCancel(ctx)
		l := &lookLoop{owner: o, to: target.To, ctx: loopCtx, cancel: cancel, wake: make(chan struct{}, 1), stored: make(chan struct{}, 1)}
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
