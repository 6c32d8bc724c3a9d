package logstream

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
)

// TestBackoff_Bounds checks the delays of consecutive failures.
func TestBackoff_Bounds(t *testing.T) {
	limits := Limits{RetryDelay: 50, MaxRetryDelay: 400}
	var b backoff
	for _, bound := range []time.Duration{50, 100, 200, 400, 400} {
		delay := b.next(limits)
		require.LessOrEqual(t, delay, bound)
		require.GreaterOrEqual(t, delay, bound/2)
	}
	b.reset()
	require.LessOrEqual(t, b.next(limits), limits.RetryDelay)
	require.LessOrEqual(t, b.next(Limits{RetryDelay: 7}), time.Duration(7))
}

// TestPropose_RetriesAreRateLimited checks that a retried append waits for the
// append limiter.
func TestPropose_RetriesAreRateLimited(t *testing.T) {
	clock := clockwork.NewRealClock()
	log := fakelog.New(clock)
	log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true })
	pacer := NewAppendLimiter(clock, 1)
	h := startFixture(t, log, "w", func(c *Config) { c.AppendLimiter = pacer })
	a := h.propose(pool("p", 0))
	h.eventually(func() bool { return h.stream.attempts.Load() == 1 })
	// The limiter allows the next append in a second: no retry is sent before
	// the proposer cancels.
	time.Sleep(20 * h.stream.cfg.Limits.RetryDelay)
	sent := h.stream.attempts.Load()
	a.cancel()
	a.wait(t)
	require.Equal(t, provider.Refused, outcome(a.err))
	require.Equal(t, int64(1), int64(sent))
}
