package fleetentry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlanner_LongRoundsLeaveTimeForCalls guards against a planner that takes most of the
// processor of a busy leader while many tasks wait.
func TestPlanner_LongRoundsLeaveTimeForCalls(t *testing.T) {
	t.Parallel()
	const length = time.Second
	const roundTime = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	wake := make(chan struct{}, 1)
	var rounds time.Duration
	runRounds(ctx, wake, func() time.Duration {
		rounds++
		signal(wake)
		time.Sleep(roundTime)
		return roundTime
	})
	require.Greater(t, rounds, time.Duration(2))
	require.LessOrEqual(t, rounds*roundTime, length/8, "%d rounds", rounds)
}
