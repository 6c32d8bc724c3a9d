package logstream

import "time"

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

// Age returns the time since the state is known to have been current. A
// stream that was never current, or that has a Fault, has an age beyond any bound. The age is the
// larger of the wall and the monotonic difference, because the monotonic
// clock stops while a VM is suspended.
func (s *Stream) Age() time.Duration {
	const never = time.Duration(1<<63 - 1)
	f := s.fresh.Load()
	if f == nil || s.Fault() != nil {
		return never
	}
	now := s.cfg.Clock.Now()
	monotonic := now.Sub(f.asOf)
	wall := now.Round(0).Sub(f.asOf.Round(0))
	return max(monotonic, wall)
}
