package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLookPace_ShortWaitsWhileLooksAreLost(t *testing.T) {
	var p lookPace
	now := time.UnixMilli(1_000_000)
	require.Equal(t, lookWait, p.wait(now, true))
	p.answeredAgain(now, promptAnswer)
	require.Equal(t, lossyLookWait, p.wait(now.Add(lossySpan-1), true))
	require.Equal(t, lookWait, p.wait(now.Add(lossySpan-1), false))
	require.Equal(t, lookWait, p.wait(now.Add(lossySpan), true))
}

func TestLookPace_SlowOwnerLooksNoMore(t *testing.T) {
	var p lookPace
	now := time.UnixMilli(1_000_000)
	p.answeredAgain(now, promptAnswer+1)
	require.Equal(t, lookWait, p.wait(now, true))
}
