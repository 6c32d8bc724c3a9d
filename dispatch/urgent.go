package dispatch

import (
	"context"

	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// maxAttempts bounds the starts of one idempotent request that may have
	// begun.
	maxAttempts = 3
	// maxStarts bounds the starts of one idempotent request, refused or not.
	maxStarts = 8
)

// runUrgent starts the request, again after a failure that allows it, until
// it has an outcome. A start that may have begun is repeated on another
// target, on the retry budget.
func (d *Dispatcher) runUrgent(ctx context.Context, id string, req Request, grant *Grant) Outcome {
	outcome := Outcome{}
	avoid := ""
	begun := 0
	for number := 1; number <= maxStarts; number++ {
		held, refusal := d.place(ctx, grant, avoid)
		if held == nil {
			return outcome.join(refusal)
		}
		task := provider.Task{ID: id, Attempt: number, Team: grant.Workspace.Team, Body: req.Body}
		got := d.call(ctx, held, task)
		outcome = outcome.join(got.requestOutcome(held, number))
		if !got.outcomeOfStart.retryable() {
			d.countSuccess(got.outcomeOfStart)
			return outcome
		}
		if got.outcomeOfStart.MayHaveStarted() {
			begun++
			if begun == maxAttempts || !d.retries.spend() {
				return outcome
			}
		}
		avoid = held.Target.ID
	}
	return outcome
}

// retryable reports whether idempotent work may be started again after such
// an end. A failure that the task itself reports would come again.
func (e AttemptOutcome) retryable() bool {
	return e == AttemptRefused || e == AttemptStopped || e == AttemptUnknown
}

func (d *Dispatcher) countSuccess(end AttemptOutcome) {
	if end == AttemptAnswered {
		d.retries.recordSuccess()
	}
}
