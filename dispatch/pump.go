package dispatch

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/placement"
)

// slotPoll is the pause between two searches for slots. One search is for all
// requests that wait on the same pools.
const slotPoll = 5 * time.Millisecond

// startPump searches slots for the line until nobody waits.
func (d *Dispatcher) startPump(l *line) {
	if l.pumping.CompareAndSwap(false, true) {
		go d.pump(l)
	}
}

func (d *Dispatcher) pump(l *line) {
	for {
		for l.Waiting() > 0 {
			l.DropLate(d.cfg.Clock.Now())
			if !d.feed(l) {
				<-d.cfg.Clock.After(slotPoll)
			}
		}
		l.pumping.Store(false)
		if l.Waiting() == 0 || !l.pumping.CompareAndSwap(false, true) {
			return
		}
	}
}

// feed finds one slot for the line and reports whether a waiter took it.
func (d *Dispatcher) feed(l *line) bool {
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
	if !d.hand(l, held) {
		d.slots.Release(held)
		return false
	}
	return true
}

// taker returns the test whether a waiter can use the slot, which takes a unit
// of its team's allotment if so.
func (d *Dispatcher) taker(h *placement.LeasedSlot) func(*admission.Waiter) bool {
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
