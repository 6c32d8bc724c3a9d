package dispatch

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// attemptFactor is how many times the observed run time one attempt may
	// take before another target is tried.
	attemptFactor = 3
	// fewAttemptFactor is the same with fewer than manyRequests observations,
	// whose quantile says little.
	fewAttemptFactor = 10
	manyRequests     = 200
	// minAttempt bounds the time of one attempt from below.
	minAttempt = 250 * time.Millisecond
)

// attemptsKey is the context key of an attempts value.
type attemptsKey struct{}

// attempts bounds the attempts of one request that may be started again.
type attempts struct {
	line  *line
	queue string
}

// withAttempts marks the calls of a request that may be started again.
func withAttempts(ctx context.Context, l *line, queue string) context.Context {
	return context.WithValue(ctx, attemptsKey{}, &attempts{line: l, queue: queue})
}

// timeout is the time that one attempt may take, or 0 without a bound.
func (a *attempts) timeout(now time.Time) time.Duration {
	long := a.line.RunTimeQuantile(now, a.queue)
	if long == 0 {
		return 0
	}
	if a.line.ObservationCount(now, a.queue) < manyRequests {
		return max(minAttempt, fewAttemptFactor*long)
	}
	return max(minAttempt, attemptFactor*long)
}

// reporter takes note of how targets answer.
type reporter interface {
	RecordCall(address string, answered bool, part float64)
}

// reportingWorkers reports the end of each task call, and bounds the attempts
// that may be repeated, so that a target that does not answer costs a request
// one attempt and not its caller's whole patience.
type reportingWorkers struct {
	provider.Workers
	clock  clockwork.Clock
	report reporter
}

// RunTask implements provider.Workers.
func (w *reportingWorkers) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	sent := w.clock.Now()
	usual := time.Duration(0)
	if a, ok := ctx.Value(attemptsKey{}).(*attempts); ok {
		usual = a.line.MeanRunTime(sent, a.queue)
		if bound := a.timeout(sent); bound > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, bound)
			defer cancel()
		}
	}
	answer, err := w.Workers.RunTask(ctx, address, task)
	took := w.clock.Now().Sub(sent)
	switch {
	case err == nil && usual > 0:
		w.report.RecordCall(address, true, float64(took)/float64(usual))
	case err == nil:
		w.report.RecordCall(address, true, 0)
	case provider.OutcomeOf(err) == provider.Unknown, provider.CodeOf(err) == provider.CodeUnreachable:
		w.report.RecordCall(address, false, 0)
	}
	return answer, err
}
