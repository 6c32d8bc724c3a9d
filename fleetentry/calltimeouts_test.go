package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallTimeouts_ShortWaitsWhilePollsAreLost(t *testing.T) {
	var timeouts callTimeouts
	now := time.UnixMilli(1_000_000)
	require.Equal(t, defaultPollWait, timeouts.pollWait(now, true, false))
	require.Equal(t, startupPollWait, timeouts.pollWait(now, false, true))
	timeouts.recordRetryResponse(now, promptResponse)
	require.Equal(t, lossyAttemptTimeouts, timeouts.attemptTimeouts(now))
	require.Equal(t, lossyPollResponseTimeout, timeouts.responseTimeout(now))
	require.Equal(t, lossyPollWait, timeouts.pollWait(now.Add(lossyPeriod-1), true, false))
	require.Equal(t, defaultPollWait, timeouts.pollWait(now.Add(lossyPeriod-1), false, false))
	require.Equal(t, defaultPollWait, timeouts.pollWait(now.Add(lossyPeriod), true, false))
}

func TestCallTimeouts_SlowLeaderKeepsDefaults(t *testing.T) {
	var timeouts callTimeouts
	now := time.UnixMilli(1_000_000)
	timeouts.recordRetryResponse(now, promptResponse+1)
	require.Equal(t, defaultAttemptTimeouts, timeouts.attemptTimeouts(now), "a slow leader sends requests more often")
	require.Equal(t, pollResponseTimeout, timeouts.responseTimeout(now))
	require.Equal(t, defaultPollWait, timeouts.pollWait(now, true, false))
}
