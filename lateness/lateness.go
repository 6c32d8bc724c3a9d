// Package lateness measures how late a process runs what is ready to run, so that it
// does not take its own lateness for the silence of those it calls.
package lateness

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// probeInterval is the delay between two measurements.
	probeInterval = 50 * time.Millisecond
	// decayDivisor is the part by which the reading falls at each probe that is less
	// late: to a half in five probes.
	decayDivisor = 8
	// negligible lateness extends no call: calls have that much to spare.
	negligible = 20 * time.Millisecond
	// allowanceFactor covers the two waits of a call: one to send and one to read.
	allowanceFactor = 2
	// maxAllowance bounds how much longer a call may take, in view of the leases that
	// the next call extends.
	maxAllowance = time.Second
)

// Monitor measures the lateness of the process.
type Monitor struct {
	clock   clockwork.Clock
	current atomic.Int64
}

// NewMonitor returns a monitor whose reading is 0 until it runs.
func NewMonitor(clock clockwork.Clock) *Monitor { return &Monitor{clock: clock} }

// Run measures until the context ends, and passes each measurement to observe.
func (m *Monitor) Run(ctx context.Context, observe func(late time.Duration)) {
	for {
		due := m.clock.Now().Add(probeInterval)
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(probeInterval):
		}
		// A goroutine that a timer wakes runs before those that wait for the processor.
		runtime.Gosched()
		late := m.clock.Since(due)
		m.record(late)
		observe(late)
	}
}

// record updates the reading, which rises at once and falls slowly.
func (m *Monitor) record(late time.Duration) {
	previous := m.Current()
	m.current.Store(int64(max(late, previous-previous/decayDivisor)))
}

// Current returns how late the process has recently been.
func (m *Monitor) Current() time.Duration { return time.Duration(m.current.Load()) }

// Allowance returns how much longer a call to another process may take because this
// one is late.
func (m *Monitor) Allowance() time.Duration {
	late := m.Current()
	if late < negligible {
		return 0
	}
	return min(allowanceFactor*late, maxAllowance)
}
