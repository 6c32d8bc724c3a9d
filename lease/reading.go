package lease

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/bothclocks"
)

// Reading is the time since a fixed moment, by two clocks. The monotonic clock
// may stop while a VM is suspended, and the wall clock may be stepped.
type Reading struct {
	Wall      time.Duration
	Monotonic time.Duration
}

// longest is the time since the earlier reading by the clock that shows more.
func (r Reading) longest(earlier Reading) time.Duration {
	return max(r.Wall-earlier.Wall, r.Monotonic-earlier.Monotonic)
}

// shortest is the time since the earlier reading by the clock that shows less.
func (r Reading) shortest(earlier Reading) time.Duration {
	return min(r.Wall-earlier.Wall, r.Monotonic-earlier.Monotonic)
}

// Stopwatch reads both clocks.
type Stopwatch interface {
	Read() Reading
}

// clockTimer reads both clocks of a clockwork.Clock.
type clockTimer struct {
	clock clockwork.Clock
	start time.Time
}

// NewStopwatch returns a timer over the clock.
func NewStopwatch(clock clockwork.Clock) Stopwatch {
	return &clockTimer{clock: clock, start: clock.Now()}
}

// Read implements Timer. Round strips the monotonic reading.
func (t *clockTimer) Read() Reading {
	wall, monotonic := bothclocks.Since(t.clock.Now(), t.start)
	return Reading{Wall: wall, Monotonic: monotonic}
}
