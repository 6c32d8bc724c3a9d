package logstream

import (
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
)

// never is the age of a state that is not known to have been current.
const never = time.Duration(1<<63 - 1)

// freshness is the latest proof that the state was current.
type freshness struct {
	asOf time.Time
}

// confirm records that the state was current at the given time.
func (s *Stream) confirm(asOf time.Time) {
	next := &freshness{asOf: asOf}
	for {
		current := s.fresh.Load()
		if current != nil && !asOf.After(current.asOf) {
			return
		}
		if s.fresh.CompareAndSwap(current, next) {
			return
		}
	}
}

// Staleness returns the time since the state is known to have been current: the
// larger one of Ages.
func (s *Stream) Staleness() time.Duration {
	return max(s.StalenessByClock())
}

// StalenessByClock returns the time since the state is known to have been current by the
// wall clock and by the monotonic clock, which stops while a VM is suspended. A
// stream that was never current, or that has a Fault, has ages beyond any
// bound.
func (s *Stream) StalenessByClock() (wall, monotonic time.Duration) {
	f := s.fresh.Load()
	if f == nil || s.FatalError() != nil {
		return never, never
	}
	return elapsed.Since(s.cfg.Clock.Now(), f.asOf)
}
