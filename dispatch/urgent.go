package dispatch

import (
	"context"

	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// maxAttempts bounds the attempts of one idempotent request that may have
	// started.
	maxAttempts = 3
	// maxStarts bounds the start requests of an idempotent request in total.
	maxStarts = 8
)

// runUrgent starts the request and retries retryable failures until it has an
// outcome. An attempt that may have started is retried on another target,
// within the retry budget.
func (d *Dispatcher) runUrgent(ctx context.Context, id string, req Request, grant *Grant) Outcome {
	outcome := Outcome{}
	avoid := ""
	started := 0
	for number := 1; number <= maxStarts; number++ {
		slot, refusal := d.place(ctx, grant, avoid)
		if slot == nil {
			return outcome.join(refusal)
		}
		task := provider.Task{ID: id, Attempt: number, Team: grant.Workspace.Team, Body: req.Body}
		got := d.call(ctx, slot, task)
		outcome = outcome.join(got.requestOutcome(slot, number))
		if !got.outcome.retryable() {
			d.countSuccess(got.outcome)
			return outcome
		}
		if got.outcome.MayHaveStarted() {
			started++
			if started == maxAttempts || !d.retries.spend() {
				return outcome
			}
		}
		avoid = slot.Target.ID
	}
	return outcome
}

// retryable reports whether idempotent work may be retried after this outcome.
// A failure that the task itself reports would recur.
func (o AttemptOutcome) retryable() bool {
	return o == AttemptRefused || o == AttemptStopped || o == AttemptUnknown
}

func (d *Dispatcher) countSuccess(outcome AttemptOutcome) {
	if outcome == AttemptAnswered {
		d.retries.recordSuccess()
	}
}
