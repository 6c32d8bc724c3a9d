package logstream

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff spaces the calls to a log that fails. Its bound doubles from the least
// to the most pause with each failure in a row, and each pause is drawn from the
// upper half of the bound, so that processes do not call in step.
type backoff struct {
	bound time.Duration
}

// next returns the pause after one more failure.
func (b *backoff) next(limits Limits) time.Duration {
	most := max(limits.RetryDelay, limits.MaxRetryDelay)
	b.bound = min(most, max(limits.RetryDelay, 2*b.bound))
	return b.bound - time.Duration(rand.Int64N(int64(b.bound)/2+1))
}

// reset starts anew after a success.
func (b *backoff) reset() { b.bound = 0 }

// backOff waits after one more failure.
func (s *Stream) backOff(ctx context.Context, b *backoff) {
	s.sleep(ctx, b.next(s.cfg.Limits))
}

// backOffWrites waits after one more failed append, and then for the turn of the
// next one: appends that are tried again count in the process's part of the
// log's rate like any other.
func (s *Stream) backOffWrites(ctx context.Context, b *backoff, batch []*proposal) {
	s.backOff(ctx, b)
	if wait := s.turn(batch); wait > 0 {
		s.sleep(ctx, wait)
	}
}

// sleep waits for the given time or until the context ends.
func (s *Stream) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-s.cfg.Clock.After(pause):
	case <-ctx.Done():
	}
}
