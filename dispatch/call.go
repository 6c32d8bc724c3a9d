package dispatch

import (
	"context"

	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
)

// attempt is one start that was sent, and its end.
type attempt struct {
	outcomeOfStart AttemptOutcome
	// answer is the whole answer of an answered attempt.
	answer []byte
	// err says what happened to the others.
	err error
}

// call sends one start under the held slot and the unit of the allotment that
// the caller has taken. It gives the unit back unless the task may still run:
// then the limbo keeps it.
func (d *Dispatcher) call(ctx context.Context, held *placement.LeasedSlot, task provider.Task) attempt {
	task.Lease, task.Holder = held.LeaseID, held.Holder
	answer, err := d.cfg.Workers.RunTask(ctx, held.Target.Address, task)
	end := classifyAttempt(err)
	if end == AttemptUnknown {
		d.cfg.InDoubt.Add(task, held.Target.Address)
		return attempt{outcomeOfStart: end, err: err}
	}
	d.cfg.Allotment.Release(task.Team, task.Holder)
	if end.MayHaveStarted() {
		d.cfg.Slots.Release(held)
	} else if provider.CodeOf(err) == provider.CodeDraining {
		d.cfg.Slots.MarkDraining(held)
	}
	return attempt{outcomeOfStart: end, answer: answer.Body, err: err}
}

// requestOutcome returns the outcome of a request that ends with the attempt.
func (a attempt) requestOutcome(held *placement.LeasedSlot, number int) Outcome {
	out := Outcome{Kind: a.outcomeOfStart.RequestKind(), Answer: a.answer, VM: held.Target.ID, Attempts: number}
	if a.err != nil {
		out.Message = a.err.Error()
	}
	switch a.outcomeOfStart {
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
