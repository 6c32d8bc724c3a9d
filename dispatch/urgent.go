package dispatch

import (
	"context"

	"github.com/anvilcourse/anvilcourse/platform"
)

// maxAttempts bounds the starts of one idempotent request.
const maxAttempts = 3

// runUrgent starts the request, again after a failure that allows it, until
// it has an outcome.
func (d *Dispatcher) runUrgent(ctx context.Context, id string, req Request, grant *Grant) Outcome {
	worst := Outcome{}
	avoid := ""
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		task := platform.Task{ID: id, Attempt: attempt, Team: grant.Workspace.Team, Holder: d.cfg.Incarnation, Body: req.Body}
		held, refusal := d.place(ctx, grant, avoid)
		if held == nil {
			return later(worst, refusal)
		}
		outcome, began := d.call(ctx, held, task)
		if outcome.Kind == Answered || outcome.Kind == Failed {
			return outcome
		}
		if began {
			worst = outcome
		}
		avoid = held.Target.ID
	}
	return later(worst, notRun(CodeNoCapacity, "no target took the request", busyRetryAfter))
}

// later returns the refusal, unless an earlier attempt may have begun.
func later(worst, refusal Outcome) Outcome {
	if worst.Kind != "" {
		return worst
	}
	return refusal
}
