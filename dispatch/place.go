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
	l := d.lines.of(grant.Template)
	now := d.cfg.Clock.Now()
	req := admission.Request{
		Team: grant.Workspace.Team, Queue: grant.Workspace.Name + "." + grant.Queue.Name, Deadline: deadlineOf(ctx, now), AvoidTarget: avoid,
		IgnoreMaxWait: grant.Queue.Class != statemachine.ClassUrgent,
	}
	if !l.CanMeetDeadline(now, req) {
		return nil, notRun(CodeTimeout, "the caller's patience is shorter than the queue's requests take", busyRetryAfter)
	}
	if l.MayBypass(req.Team) {
		if held := d.takeNow(ctx, l, req); held != nil {
			return held, Outcome{}
		}
	}
	w, refusal := l.Enqueue(d.cfg.Clock.Now(), req)
	if refusal != nil {
		return nil, refused(*refusal)
	}
	d.startPump(l)
	return d.await(ctx, l, w)
}

// deadlineOf returns when the caller stops waiting, by the dispatcher's clock.
func deadlineOf(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(maxPatience)
	}
	return now.Add(time.Until(deadline))
}

// maxPatience stands for the patience of a caller without a deadline.
const maxPatience = 24 * time.Hour

// takeNow returns a free slot with a unit of the allotment, or nil.
func (d *Dispatcher) takeNow(ctx context.Context, l *line, req admission.Request) *placement.LeasedSlot {
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

// await waits for the decision on the waiter or the end of the patience.
func (d *Dispatcher) await(ctx context.Context, l *line, w *admission.Waiter) (*placement.LeasedSlot, Outcome) {
	select {
	case decision := <-w.Ready:
		return decided(w, decision)
	case <-ctx.Done():
	}
	if l.Cancel(w) {
		return nil, tooLate(w)
	}
	held, outcome := decided(w, <-w.Ready)
	if held == nil {
		return nil, outcome
	}
	held.Queue = ""
	d.cfg.Allotment.Release(w.Team, held.Holder)
	d.cfg.Slots.Release(held)
	return nil, tooLate(w)
}

func decided(w *admission.Waiter, decision admission.Decision) (*placement.LeasedSlot, Outcome) {
	if held, ok := decision.Slot.(*placement.LeasedSlot); ok {
		return held, Outcome{}
	}
	if w.TeamAtLimit.Load() {
		return nil, tooLate(w)
	}
	return nil, refused(decision.Refusal)
}

// tooLate refuses a request whose wait is over.
func tooLate(w *admission.Waiter) Outcome {
	if w.TeamAtLimit.Load() {
		return notRun(CodeTeamLimit, "team "+w.Team+" is at its upper limit", busyRetryAfter)
	}
	return notRun(CodeNoCapacity, "no target has a free slot", busyRetryAfter)
}

// refused refuses a request that the admission turned away.
func refused(r admission.Refusal) Outcome {
	message := "the request cannot be answered in time"
	if r.Reason == admission.ReasonQueueFull {
		message = "too many requests of the team wait already"
	}
	return notRun(CodeNoCapacity, message, max(busyRetryAfter, r.RetryAfter))
}
