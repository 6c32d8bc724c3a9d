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

// TestPlanner_SlowRoundDelaysTheNext guards against a long pause after a single round
// during which the processor was taken away.
func TestPlanner_SlowRoundDelaysTheNext(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	wake := make(chan struct{}, 1)
	signal(wake)
	var started []time.Time
	runRounds(ctx, wake, func() time.Duration {
		if started = append(started, time.Now()); len(started) == 2 {
			cancel()
		}
		signal(wake)
		return time.Second
	})
	require.Len(t, started, 2)
	require.Less(t, started[1].Sub(started[0]), 2*maxPlanPause)
}
