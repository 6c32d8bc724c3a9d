package dispatch

import "github.com/anvilcourse/anvilcourse/placement"

// forwardingSlots hands a slot that comes free to the next request that waits.
type forwardingSlots struct {
	Slots
	dispatcher *Dispatcher
}

// Release implements Slots.
func (s *forwardingSlots) Release(h *placement.LeasedSlot) {
	s.dispatcher.handleReleasedSlot(h)
}

// leaseReturner is a Slots that can return a lease to its target, for any entry to
// take. Other Slots keep it.
type leaseReturner interface {
	ReturnLease(h *placement.LeasedSlot)
}

func (d *Dispatcher) returnLease(h *placement.LeasedSlot) {
	if g, ok := d.slots.(leaseReturner); ok {
		g.ReturnLease(h)
		return
	}
	d.slots.Release(h)
}

// handleReleasedSlot takes note of the run time and passes the slot on: to a request
// that waits here, to another entry, or to the stock of held leases.
func (d *Dispatcher) handleReleasedSlot(h *placement.LeasedSlot) {
	now := d.cfg.Clock.Now()
	l := d.waitQueues.forPool(h.Target.Pool)
	if l == nil {
		d.slots.Release(h)
		return
	}
	if h.Queue != "" {
		l.RunTimes(now, h.Queue).Observe(now, now.Sub(h.AssignedAt))
		h.Queue = ""
	}
	switch {
	case l.Waiting() > 0 && h.Valid(now) && l.MayTakeSlot(now, l.RunningTasks()) && d.assignSlot(l, h):
	case l.OtherEntriesWaiting():
		d.returnLease(h)
	default:
		d.slots.Release(h)
	}
}

// assignSlot gives the slot to the next waiter that can use it and reports whether
// there is one. The slot is held before the allotment is checked.
func (d *Dispatcher) assignSlot(l *waitQueue, h *placement.LeasedSlot) bool {
	now := d.cfg.Clock.Now()
	w := l.Next(now, d.allotmentAcquirer(h))
	if w == nil {
		return false
	}
	h.Queue, h.AssignedAt = w.Queue, now
	w.Assign(h)
	return true
}
