package lease

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/elapsed"
)

// Reading is the time since a fixed moment by two clocks. The monotonic clock
// may stop while a VM is suspended, and the wall clock may be stepped.
type Reading struct {
	Wall      time.Duration
	Monotonic time.Duration
}

// maxElapsed returns the larger of the clocks' times since the earlier reading.
func (r Reading) maxElapsed(earlier Reading) time.Duration {
	return max(r.Wall-earlier.Wall, r.Monotonic-earlier.Monotonic)
}

// minElapsed returns the smaller of the clocks' times since the earlier reading.
func (r Reading) minElapsed(earlier Reading) time.Duration {
	return min(r.Wall-earlier.Wall, r.Monotonic-earlier.Monotonic)
}

// Stopwatch reads the wall clock and the monotonic clock.
type Stopwatch interface {
	Read() Reading
}

// clockStopwatch reads both clocks of a clockwork.Clock.
type clockStopwatch struct {
	clock clockwork.Clock
	start time.Time
}

// NewStopwatch returns a stopwatch on the clock.
func NewStopwatch(clock clockwork.Clock) Stopwatch {
	return &clockStopwatch{clock: clock, start: clock.Now()}
}

// Read implements Stopwatch.
func (s *clockStopwatch) Read() Reading {
	wall, monotonic := elapsed.Since(s.clock.Now(), s.start)
	return Reading{Wall: wall, Monotonic: monotonic}
}
