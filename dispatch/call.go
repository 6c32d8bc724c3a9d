package dispatch

import (
	"context"

	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
)

// attempt is one start request that was sent, and its outcome.
type attempt struct {
	outcome AttemptOutcome
	// answer is the complete answer of an answered attempt.
	answer []byte
	// err is the error of any other attempt.
	err error
}

// call sends one start request under the leased slot and the unit of the
// allotment that the caller has acquired. It releases the unit unless the task
// may still run: then the in-doubt set keeps it.
func (d *Dispatcher) call(ctx context.Context, slot *placement.LeasedSlot, task provider.Task) attempt {
	task.LeaseID, task.Holder = slot.LeaseID, slot.Holder
	answer, err := d.cfg.Workers.RunTask(ctx, slot.Target.Address, task)
	outcome := classifyAttempt(err)
	if outcome == AttemptUnknown {
		d.cfg.InDoubt.Add(task, slot.Target.Address)
		return attempt{outcome: outcome, err: err}
	}
	d.cfg.Allotment.Release(task.Team, task.Holder)
	if outcome.MayHaveStarted() {
		d.cfg.Slots.Release(slot)
	} else if provider.CodeOf(err) == provider.CodeDraining {
		d.cfg.Slots.MarkDraining(slot)
	}
	return attempt{outcome: outcome, answer: answer.Body, err: err}
}

// requestOutcome returns the outcome of a request whose last attempt this is.
func (a attempt) requestOutcome(slot *placement.LeasedSlot, number int) Outcome {
	out := Outcome{Kind: a.outcome.RequestKind(), Answer: a.answer, VM: slot.Target.ID, Attempts: number}
	if a.err != nil {
		out.Message = a.err.Error()
	}
	switch a.outcome {
	case AttemptRefused:
		out.Code = CodeNoCapacity
		out.RetryAfter = busyRetryAfter
	case AttemptFailed:
		out.Code = CodeTaskFailed
	case AttemptStopped:
		out.Code = CodeTaskStopped
	case AttemptUnknown:
		out.Code = CodeReplyLost
	}
	return out
}
