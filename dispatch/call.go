package dispatch

import (
	"context"

	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/platform"
)

// call sends one start and classifies its end. began tells whether the target
// may have begun.
func (d *Dispatcher) call(ctx context.Context, held *placement.Held, task platform.Task) (outcome Outcome, began bool) {
	task.Lease, task.Holder = held.Lease, held.Holder
	answer, err := d.cfg.Workers.RunTask(ctx, held.Target.Address, task)
	if err == nil {
		d.cfg.Allotment.Release(task.Team, task.Holder)
		d.cfg.Slots.Release(held)
		return Outcome{Kind: Answered, Answer: answer.Body, VM: held.Target.ID, Attempts: task.Attempt}, true
	}
	switch platform.OutcomeOf(err) {
	case platform.Refused:
		d.cfg.Allotment.Release(task.Team, task.Holder)
		if platform.CodeOf(err) == platform.CodeDraining {
			d.cfg.Slots.MarkLeaving(held)
		}
		return notRun(CodeNoCapacity, err.Error(), busyRetryAfter), false
	case platform.Failed:
		d.cfg.Allotment.Release(task.Team, task.Holder)
		d.cfg.Slots.Release(held)
		return Outcome{Kind: Failed, Code: CodeTaskFailed, Message: err.Error(), VM: held.Target.ID, Attempts: task.Attempt}, true
	default:
		d.cfg.Limbo.Add(task, held.Target.Address)
		return Outcome{Kind: Unknown, Code: CodeReplyLost, Message: err.Error(), VM: held.Target.ID, Attempts: task.Attempt}, true
	}
}
