package logstream

import (
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
)

// unknownStaleness is the staleness of a state that is not known to have been
// current.
const unknownStaleness = time.Duration(1<<63 - 1)

// currencyProof is the latest proof that the state was current.
type currencyProof struct {
	asOf time.Time
}

// recordCurrent records that the state was current at the given time.
func (s *Stream) recordCurrent(asOf time.Time) {
	next := &currencyProof{asOf: asOf}
	for {
		current := s.lastProof.Load()
		if current != nil && !asOf.After(current.asOf) {
			return
		}
		if s.lastProof.CompareAndSwap(current, next) {
			return
		}
	}
}

// Staleness returns the time since the state is known to have been current: the
// larger result of StalenessByClock.
func (s *Stream) Staleness() time.Duration {
	return max(s.StalenessByClock())
}

// StalenessByClock returns the time since the state is known to have been
// current by the wall clock and by the monotonic clock, which stops while a VM
// is suspended. Both exceed any bound for a stream that was never current or
// has a fatal error.
func (s *Stream) StalenessByClock() (wall, monotonic time.Duration) {
	f := s.lastProof.Load()
	if f == nil || s.FatalError() != nil {
		return unknownStaleness, unknownStaleness
	}
	return elapsed.Since(s.cfg.Clock.Now(), f.asOf)
}
