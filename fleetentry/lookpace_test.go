package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLookPace_ShortWaitsWhileLooksAreLost(t *testing.T) {
	var p lookPace
	now := time.UnixMilli(1_000_000)
	require.Equal(t, lookWait, p.wait(now, true, false))
	require.Equal(t, startingLookWait, p.wait(now, false, true))
	p.answeredAgain(now, promptAnswer)
	require.Equal(t, lossyLookWait, p.wait(now.Add(lossySpan-1), true, false))
	require.Equal(t, lookWait, p.wait(now.Add(lossySpan-1), false, false))
	require.Equal(t, lookWait, p.wait(now.Add(lossySpan), true, false))
}

func TestLookPace_SlowOwnerLooksNoMore(t *testing.T) {
	var p lookPace
	now := time.UnixMilli(1_000_000)
	p.answeredAgain(now, promptAnswer+1)
	require.Equal(t, lookWait, p.wait(now, true, false))
}
