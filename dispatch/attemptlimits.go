package dispatch

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// attemptTimeoutFactor is how many times the observed run time one attempt may
	// take before another target is tried.
	attemptTimeoutFactor = 3
	// lowSampleTimeoutFactor is the same with fewer than manyRequests observations,
	// whose quantile says little.
	lowSampleTimeoutFactor = 10
	minSamples             = 200
	// minAttemptTimeout bounds the time of one attempt from below.
	minAttemptTimeout = 250 * time.Millisecond
)

// attemptLimitsKey is the context key of an attempts value.
type attemptLimitsKey struct{}

// attemptLimits bounds the attempts of one request that may be started again.
type attemptLimits struct {
	waitQueue *waitQueue
	queue     string
}

// withAttemptLimits marks the calls of a request that may be started again.
func withAttemptLimits(ctx context.Context, l *waitQueue, queue string) context.Context {
	return context.WithValue(ctx, attemptLimitsKey{}, &attemptLimits{waitQueue: l, queue: queue})
}

// timeout is the time that one attempt may take, or 0 without a bound.
func (a *attemptLimits) timeout(now time.Time) time.Duration {
	long := a.waitQueue.RunTimeQuantile(now, a.queue)
	if long == 0 {
		return 0
	}
	if a.waitQueue.ObservationCount(now, a.queue) < minSamples {
		return max(minAttemptTimeout, lowSampleTimeoutFactor*long)
	}
	return max(minAttemptTimeout, attemptTimeoutFactor*long)
}

// callRecorder takes note of how targets answer.
type callRecorder interface {
	RecordCall(address string, answered bool, part float64)
}

// recordingWorkers reports the end of each task call, and bounds the attempts
// that may be repeated, so that a target that does not answer costs a request
// one attempt and not its caller's whole patience.
type recordingWorkers struct {
	provider.Workers
	clock    clockwork.Clock
	recorder callRecorder
}

// RunTask implements provider.Workers.
func (w *recordingWorkers) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	sent := w.clock.Now()
	usual := time.Duration(0)
	if a, ok := ctx.Value(attemptLimitsKey{}).(*attemptLimits); ok {
		usual = a.waitQueue.MeanRunTime(sent, a.queue)
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
		w.recorder.RecordCall(address, true, float64(took)/float64(usual))
	case err == nil:
		w.recorder.RecordCall(address, true, 0)
	case provider.OutcomeOf(err) == provider.Unknown, provider.CodeOf(err) == provider.CodeUnreachable:
		w.recorder.RecordCall(address, false, 0)
	}
	return answer, err
}
