package logstream

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff is an exponential backoff for calls to the log. Its bound doubles from
// the minimum to the maximum delay with each failure in a row; a delay is drawn
// from the bound's upper half, so that processes do not retry in step.
type backoff struct {
	bound time.Duration
}

// next returns the delay after one more failure.
func (b *backoff) next(limits Limits) time.Duration {
	maxDelay := max(limits.RetryDelay, limits.MaxRetryDelay)
	b.bound = min(maxDelay, max(limits.RetryDelay, 2*b.bound))
	return b.bound - time.Duration(rand.Int64N(int64(b.bound)/2+1))
}

// reset restarts the backoff after a success.
func (b *backoff) reset() { b.bound = 0 }

// waitBackoff waits after one more failure.
func (s *Stream) waitBackoff(ctx context.Context, b *backoff) {
	s.sleep(ctx, b.next(s.cfg.Limits))
}

// waitAppendBackoff waits after one more failed append, and then for the append
// limiter: retries count against the process's share of the log's rate like
// other appends.
func (s *Stream) waitAppendBackoff(ctx context.Context, b *backoff, batch []*proposal) {
	s.waitBackoff(ctx, b)
	if wait := s.reserveAppend(batch); wait > 0 {
		s.sleep(ctx, wait)
	}
}

// sleep waits for the given time or until the context ends.
func (s *Stream) sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-s.cfg.Clock.After(delay):
	case <-ctx.Done():
	}
}
