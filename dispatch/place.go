package dispatch

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// place takes a slot and then a unit of the team's allotment, in this order:
// a lease that was taken before the check has lapsed by the time at which a
// holder that was paused after the check sends the start. Without a free slot
// the request waits for one, as long as its caller can still be answered.
func (d *Dispatcher) place(ctx context.Context, grant *Grant, avoid string) (*placement.LeasedSlot, Outcome) {
	l := d.waitQueues.forTemplate(grant.Template)
	now := d.cfg.Clock.Now()
	req := admission.Request{
		Team: grant.Workspace.Team, Queue: grant.Workspace.Name + "." + grant.Queue.Name, Deadline: deadlineOf(ctx, now), AvoidTarget: avoid,
		IgnoreMaxWait: grant.Queue.Class != statemachine.ClassUrgent,
	}
	if !l.CanMeetDeadline(now, req) {
		return nil, notRun(CodeTimeout, "the caller's patience is shorter than the queue's requests take", busyRetryAfter)
	}
	if l.MayBypass(req.Team) {
		if held := d.tryAcquireSlot(ctx, l, req); held != nil {
			return held, Outcome{}
		}
	}
	w, refusal := l.Enqueue(d.cfg.Clock.Now(), req)
	if refusal != nil {
		return nil, refusedByAdmission(*refusal)
	}
	d.startDispatchLoop(l)
	return d.awaitSlot(ctx, l, w)
}

// deadlineOf returns when the caller stops waiting, by the dispatcher's clock.
func deadlineOf(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(maxCallerTimeout)
	}
	return now.Add(time.Until(deadline))
}

// maxCallerTimeout stands for the patience of a caller without a deadline.
const maxCallerTimeout = 24 * time.Hour

// tryAcquireSlot returns a free slot with a unit of the allotment, or nil.
func (d *Dispatcher) tryAcquireSlot(ctx context.Context, l *waitQueue, req admission.Request) *placement.LeasedSlot {
	held, err := d.slots.Acquire(ctx, l.pools, req.AvoidTarget)
	if err != nil {
		return nil
	}
	holder, ok := d.cfg.Allotment.Acquire(req.Team)
	if !ok {
		d.slots.Release(held)
		return nil
	}
	held.Holder, held.Queue, held.AssignedAt = holder, req.Queue, d.cfg.Clock.Now()
	return held
}

// awaitSlot waits for the decision on the waiter or the end of the patience.
func (d *Dispatcher) awaitSlot(ctx context.Context, l *waitQueue, w *admission.Waiter) (*placement.LeasedSlot, Outcome) {
	select {
	case decision := <-w.Ready:
		return decisionResult(w, decision)
	case <-ctx.Done():
	}
	if l.Cancel(w) {
		return nil, waitExpired(w)
	}
	held, outcome := decisionResult(w, <-w.Ready)
	if held == nil {
		return nil, outcome
	}
	held.Queue = ""
	d.cfg.Allotment.Release(w.Team, held.Holder)
	d.cfg.Slots.Release(held)
	return nil, waitExpired(w)
}

func decisionResult(w *admission.Waiter, decision admission.Decision) (*placement.LeasedSlot, Outcome) {
	if held, ok := decision.Slot.(*placement.LeasedSlot); ok {
		return held, Outcome{}
	}
	if w.TeamAtLimit.Load() {
		return nil, waitExpired(w)
	}
	return nil, refusedByAdmission(decision.Refusal)
}

// waitExpired refuses a request whose wait is over.
func waitExpired(w *admission.Waiter) Outcome {
	if w.TeamAtLimit.Load() {
		return notRun(CodeTeamLimit, "team "+w.Team+" is at its upper limit", busyRetryAfter)
	}
	return notRun(CodeNoCapacity, "no target has a free slot", busyRetryAfter)
}

// refusedByAdmission refuses a request that the admission turned away.
func refusedByAdmission(r admission.Refusal) Outcome {
	message := "the request cannot be answered in time"
	if r.Reason == admission.ReasonQueueFull {
		message = "too many requests of the team wait already"
	}
	return notRun(CodeNoCapacity, message, max(busyRetryAfter, r.RetryAfter))
}
