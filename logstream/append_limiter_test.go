package logstream

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// appendsWithin reserves appends back to back and counts those allowed within
// the time.
func appendsWithin(p *AppendLimiter, clock *clockwork.FakeClock, span time.Duration, priority bool) int {
	count := 0
	for passed := time.Duration(0); ; count++ {
		wait := p.Reserve(priority)
		if passed += wait; passed > span {
			return count
		}
		clock.Advance(wait)
	}
}

// TestAppendLimiter_BoundsTotalRate checks that the members together stay below
// the log's rate, and that a record with priority does not wait for the others.
func TestAppendLimiter_BoundsTotalRate(t *testing.T) {
	const rate = 300
	for _, members := range []int{1, 2, 8, 100} {
		clock := clockwork.NewFakeClock()
		p := NewAppendLimiter(clock, rate)
		p.SetMembers(members)
		const span = 20 * time.Second
		count := appendsWithin(p, clock, span, false)
		limit := rate * (1 - priorityFraction) * span.Seconds() / float64(members)
		require.LessOrEqual(t, float64(count), limit*(1+burstFraction/span.Seconds())+1)
		require.GreaterOrEqual(t, float64(count), limit-2)
		require.Zero(t, p.Reserve(true))
		require.Positive(t, p.Reserve(false))
	}
}

// TestAppendLimiter_SetMembers checks that SetMembers changes the rate.
func TestAppendLimiter_SetMembers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := NewAppendLimiter(clock, 300)
	one := appendsWithin(p, clock, 10*time.Second, false)
	p.SetMembers(10)
	ten := appendsWithin(p, clock, 10*time.Second, false)
	require.InDelta(t, one/10, ten, 5)
}
