package dispatch

import "context"

// runOrder runs non-idempotent work at most once.
func (d *Dispatcher) runOrder(_ context.Context, _ string, _ Request, _ *Grant) Outcome {
	return notRun(CodeNotImplemented, "order queues take no work yet", 0)
}
