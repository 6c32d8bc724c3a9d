package dispatch

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/placement"
)

// slotPollInterval is the delay between two slot searches. One search serves
// all requests that wait on the same pools.
const slotPollInterval = 5 * time.Millisecond

// startDispatchLoop starts the queue's dispatch loop unless it is running.
func (d *Dispatcher) startDispatchLoop(q *waitQueue) {
	if q.dispatching.CompareAndSwap(false, true) {
		go d.dispatchLoop(q)
	}
}

func (d *Dispatcher) dispatchLoop(q *waitQueue) {
	for {
		for q.Waiting() > 0 {
			q.DropLate(d.cfg.Clock.Now())
			if !d.dispatchSlot(q) {
				<-d.cfg.Clock.After(slotPollInterval)
			}
		}
		q.dispatching.Store(false)
		if q.Waiting() == 0 || !q.dispatching.CompareAndSwap(false, true) {
			return
		}
	}
}

// dispatchSlot acquires one slot and reports whether a waiter took it.
func (d *Dispatcher) dispatchSlot(q *waitQueue) bool {
	if !q.MayTakeSlot(d.cfg.Clock.Now(), q.RunningTasks()) {
		return false
	}
	slot, err := d.slots.Acquire(context.Background(), q.pools, "")
	if err != nil {
		if d.cfg.Preempter != nil {
			d.cfg.Preempter.Preempt(context.Background(), q.pools, q.Waiting())
		}
		return false
	}
	if !d.assignSlot(q, slot) {
		d.slots.Release(slot)
		return false
	}
	return true
}

// allotmentAcquirer returns a function that reports whether a waiter can use
// the slot, and if so has acquired a unit of its team's allotment.
func (d *Dispatcher) allotmentAcquirer(slot *placement.LeasedSlot) func(*admission.Waiter) bool {
	return func(w *admission.Waiter) bool {
		if w.AvoidTarget == slot.Target.ID {
			return false
		}
		holder, ok := d.cfg.Allotment.Acquire(w.Team)
		if ok {
			slot.Holder = holder
		}
		w.TeamAtLimit.Store(!ok)
		return ok
	}
}
