package dispatch

import "github.com/anvilcourse/anvilcourse/placement"

// forwardingSlots passes a released slot to the next waiting request.
type forwardingSlots struct {
	Slots
	dispatcher *Dispatcher
}

// Release implements Slots.
func (s *forwardingSlots) Release(slot *placement.LeasedSlot) {
	s.dispatcher.handleReleasedSlot(slot)
}

// leaseReturner is implemented by Slots that can return a lease to its target
// for any entry to take. Other Slots retain it.
type leaseReturner interface {
	ReturnLease(slot *placement.LeasedSlot)
}

func (d *Dispatcher) returnLease(slot *placement.LeasedSlot) {
	if returner, ok := d.slots.(leaseReturner); ok {
		returner.ReturnLease(slot)
		return
	}
	d.slots.Release(slot)
}

// handleReleasedSlot records the run time and passes the slot on: to a request
// that waits here, to another entry, or to the idle leases.
func (d *Dispatcher) handleReleasedSlot(slot *placement.LeasedSlot) {
	now := d.cfg.Clock.Now()
	q := d.waitQueues.forPool(slot.Target.Pool)
	if q == nil {
		d.slots.Release(slot)
		return
	}
	if slot.Queue != "" {
		q.RunTimes(now, slot.Queue).Observe(now, now.Sub(slot.AssignedAt))
		slot.Queue = ""
	}
	switch {
	case q.Waiting() > 0 && slot.Valid(now) && q.MayTakeSlot(now, q.RunningTasks()) && d.assignSlot(q, slot):
	case q.OtherEntriesWaiting():
		d.returnLease(slot)
	default:
		d.slots.Release(slot)
	}
}

// assignSlot assigns the slot to the next waiter that can use it and reports
// whether there is one. The slot is leased before the allotment is checked.
func (d *Dispatcher) assignSlot(q *waitQueue, slot *placement.LeasedSlot) bool {
	now := d.cfg.Clock.Now()
	w := q.Next(now, d.allotmentAcquirer(slot))
	if w == nil {
		return false
	}
	slot.Queue, slot.AssignedAt = w.Queue, now
	w.Assign(slot)
	return true
}
