package dispatch

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// place acquires a slot and then a unit of the team's allotment, in this order:
// if the holder is paused after the check, a lease acquired before it has
// expired by the time the start request is sent. Without a free slot the
// request waits for one, as long as its deadline can still be met.
func (d *Dispatcher) place(ctx context.Context, grant *Grant, avoid string) (*placement.LeasedSlot, Outcome) {
	q := d.waitQueues.forTemplate(grant.Template)
	now := d.cfg.Clock.Now()
	req := admission.Request{
		Team: grant.Workspace.Team, Queue: grant.Workspace.Name + "." + grant.Queue.Name, Deadline: deadlineOf(ctx, now), AvoidTarget: avoid,
		IgnoreMaxWait: grant.Queue.Class != statemachine.ClassUrgent,
	}
	if !q.CanMeetDeadline(now, req) {
		return nil, notRun(CodeTimeout, "the request timeout is shorter than the run time of the queue's requests", busyRetryAfter)
	}
	if q.MayBypass(req.Team) {
		if slot := d.tryAcquireSlot(ctx, q, req); slot != nil {
			return slot, Outcome{}
		}
	}
	w, refusal := q.Enqueue(d.cfg.Clock.Now(), req)
	if refusal != nil {
		return nil, refusedByAdmission(*refusal)
	}
	d.startDispatchLoop(q)
	return d.awaitSlot(ctx, q, w)
}

// deadlineOf returns the context's deadline by the dispatcher's clock.
func deadlineOf(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(maxCallerTimeout)
	}
	return now.Add(time.Until(deadline))
}

// maxCallerTimeout is the timeout of a caller without a deadline.
const maxCallerTimeout = 24 * time.Hour

// tryAcquireSlot returns a free slot with a unit of the allotment, or nil.
func (d *Dispatcher) tryAcquireSlot(ctx context.Context, q *waitQueue, req admission.Request) *placement.LeasedSlot {
	slot, err := d.slots.Acquire(ctx, q.pools, req.AvoidTarget)
	if err != nil {
		return nil
	}
	holder, ok := d.cfg.Allotment.Acquire(req.Team)
	if !ok {
		d.slots.Release(slot)
		return nil
	}
	slot.Holder, slot.Queue, slot.AssignedAt = holder, req.Queue, d.cfg.Clock.Now()
	return slot
}

// awaitSlot waits for the decision on the waiter or the end of the context.
func (d *Dispatcher) awaitSlot(ctx context.Context, q *waitQueue, w *admission.Waiter) (*placement.LeasedSlot, Outcome) {
	select {
	case decision := <-w.Ready:
		return decisionResult(w, decision)
	case <-ctx.Done():
	}
	if q.Cancel(w) {
		return nil, waitExpired(w)
	}
	slot, outcome := decisionResult(w, <-w.Ready)
	if slot == nil {
		return nil, outcome
	}
	slot.Queue = ""
	d.cfg.Allotment.Release(w.Team, slot.Holder)
	d.cfg.Slots.Release(slot)
	return nil, waitExpired(w)
}

func decisionResult(w *admission.Waiter, decision admission.Decision) (*placement.LeasedSlot, Outcome) {
	if slot, ok := decision.Slot.(*placement.LeasedSlot); ok {
		return slot, Outcome{}
	}
	if w.TeamAtLimit.Load() {
		return nil, waitExpired(w)
	}
	return nil, refusedByAdmission(decision.Refusal)
}

// waitExpired returns the outcome of a request whose wait has ended.
func waitExpired(w *admission.Waiter) Outcome {
	if w.TeamAtLimit.Load() {
		return notRun(CodeTeamLimit, "team "+w.Team+" is at its upper limit", busyRetryAfter)
	}
	return notRun(CodeNoCapacity, "no target has a free slot", busyRetryAfter)
}

// refusedByAdmission returns the outcome of a request that was not admitted.
func refusedByAdmission(r admission.Refusal) Outcome {
	message := "the request cannot be answered before its deadline"
	if r.Reason == admission.ReasonQueueFull {
		message = "too many requests of the team are waiting"
	}
	return notRun(CodeNoCapacity, message, max(busyRetryAfter, r.RetryAfter))
}
