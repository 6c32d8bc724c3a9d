package dispatch

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/placement"
)

// slotPollInterval is the pause between two searches for slots. One search is for all
// requests that wait on the same pools.
const slotPollInterval = 5 * time.Millisecond

// startDispatchLoop searches slots for the line until nobody waits.
func (d *Dispatcher) startDispatchLoop(l *waitQueue) {
	if l.dispatching.CompareAndSwap(false, true) {
		go d.dispatchLoop(l)
	}
}

func (d *Dispatcher) dispatchLoop(l *waitQueue) {
	for {
		for l.Waiting() > 0 {
			l.DropLate(d.cfg.Clock.Now())
			if !d.dispatchSlot(l) {
				<-d.cfg.Clock.After(slotPollInterval)
			}
		}
		l.dispatching.Store(false)
		if l.Waiting() == 0 || !l.dispatching.CompareAndSwap(false, true) {
			return
		}
	}
}

// dispatchSlot finds one slot for the line and reports whether a waiter took it.
func (d *Dispatcher) dispatchSlot(l *waitQueue) bool {
	if !l.MayTakeSlot(d.cfg.Clock.Now(), l.RunningTasks()) {
		return false
	}
	held, err := d.slots.Acquire(context.Background(), l.pools, "")
	if err != nil {
		if d.cfg.Preempter != nil {
			d.cfg.Preempter.Preempt(context.Background(), l.pools, l.Waiting())
		}
		return false
	}
	if !d.assignSlot(l, held) {
		d.slots.Release(held)
		return false
	}
	return true
}

// allotmentAcquirer returns the test whether a waiter can use the slot, which takes a unit
// of its team's allotment if so.
func (d *Dispatcher) allotmentAcquirer(h *placement.LeasedSlot) func(*admission.Waiter) bool {
	return func(w *admission.Waiter) bool {
		if w.AvoidTarget == h.Target.ID {
			return false
		}
		holder, ok := d.cfg.Allotment.Acquire(w.Team)
		if ok {
			h.Holder = holder
		}
		w.TeamAtLimit.Store(!ok)
		return ok
	}
}
