package dispatch

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// attemptTimeoutFactor multiplies the observed run time to give the timeout
	// of an attempt, after which another target is tried.
	attemptTimeoutFactor = 3
	// lowSampleTimeoutFactor replaces it below minSamples observations, whose
	// quantile is unreliable.
	lowSampleTimeoutFactor = 10
	minSamples             = 200
	// minAttemptTimeout is the lower bound of an attempt's timeout.
	minAttemptTimeout = 250 * time.Millisecond
)

// attemptLimitsKey is the context key of an attemptLimits value.
type attemptLimitsKey struct{}

// attemptLimits bounds the attempts of one request that may be retried.
type attemptLimits struct {
	waitQueue *waitQueue
	queue     string
}

// withAttemptLimits limits the calls of a request that may be retried.
func withAttemptLimits(ctx context.Context, q *waitQueue, queue string) context.Context {
	return context.WithValue(ctx, attemptLimitsKey{}, &attemptLimits{waitQueue: q, queue: queue})
}

// timeout returns the timeout of one attempt, or 0 for none.
func (a *attemptLimits) timeout(now time.Time) time.Duration {
	runTime := a.waitQueue.RunTimeQuantile(now, a.queue)
	if runTime == 0 {
		return 0
	}
	if a.waitQueue.ObservationCount(now, a.queue) < minSamples {
		return max(minAttemptTimeout, lowSampleTimeoutFactor*runTime)
	}
	return max(minAttemptTimeout, attemptTimeoutFactor*runTime)
}

// callRecorder records the results of calls to targets.
type callRecorder interface {
	RecordCall(address string, answered bool, relativeTime float64)
}

// recordingWorkers records the result of each task call and bounds retryable
// attempts, so that an unresponsive target costs a request one attempt and not
// its whole timeout.
type recordingWorkers struct {
	provider.Workers
	clock    clockwork.Clock
	recorder callRecorder
}

// RunTask implements provider.Workers.
func (w *recordingWorkers) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	sent := w.clock.Now()
	meanRunTime := time.Duration(0)
	if a, ok := ctx.Value(attemptLimitsKey{}).(*attemptLimits); ok {
		meanRunTime = a.waitQueue.MeanRunTime(sent, a.queue)
		if bound := a.timeout(sent); bound > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, bound)
			defer cancel()
		}
	}
	answer, err := w.Workers.RunTask(ctx, address, task)
	took := w.clock.Now().Sub(sent)
	switch {
	case err == nil && meanRunTime > 0:
		w.recorder.RecordCall(address, true, float64(took)/float64(meanRunTime))
	case err == nil:
		w.recorder.RecordCall(address, true, 0)
	case provider.OutcomeOf(err) == provider.Unknown, provider.CodeOf(err) == provider.CodeUnreachable:
		w.recorder.RecordCall(address, false, 0)
	}
	return answer, err
}
