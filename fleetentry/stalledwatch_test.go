package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStalledWatch_JobsStart uses a store whose waiting reads miss the entries'
// appends: jobs of the first second of a demand peak waited for 1.2 s until the
// leader read them (seen on benchmark day scale-1 of the grown deployments).
func TestStalledWatch_JobsStart(t *testing.T) {
	p := newTestPlatform(t, 2)
	p.leader()
	p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	const stall = 4 * time.Second
	p.store.StallWatches(stall)
	start := time.Now()
	p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	require.Less(t, time.Since(start), stall/2, "the job waited until the watches recovered")
}
