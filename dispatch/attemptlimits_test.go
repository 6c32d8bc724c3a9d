package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAttemptLimits_Timeout checks that few observations, whose quantile is
// unreliable, do not cut an attempt short.
func TestAttemptLimits_Timeout(t *testing.T) {
	cases := []struct {
		observed int
		want     time.Duration
	}{{0, 0}, {5, time.Second}, {minSamples, 300 * time.Millisecond}}
	for _, c := range cases {
		d, now := newPlacementDispatcher(1, 1), time.Now()
		a := &attemptLimits{waitQueue: d.waitQueues.forTemplate(urgentGrant().Template), queue: "w.q"}
		for range c.observed {
			a.waitQueue.RunTimes(now, a.queue).Observe(now, 100*time.Millisecond)
		}
		require.InDelta(t, c.want, a.timeout(now), 0.13*float64(c.want))
	}
}
