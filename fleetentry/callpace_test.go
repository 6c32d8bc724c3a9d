package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallPace_ShortWaitsWhileLooksAreLost(t *testing.T) {
	var p callPace
	now := time.UnixMilli(1_000_000)
	require.Equal(t, lookWait, p.wait(now, true, false))
	require.Equal(t, startingLookWait, p.wait(now, false, true))
	p.answeredAgain(now, promptAnswer)
	require.Equal(t, lossyOrderTimeouts, p.orders(now))
	require.Equal(t, lossyLookAnswer, p.answer(now))
	require.Equal(t, lossyLookWait, p.wait(now.Add(lossySpan-1), true, false))
	require.Equal(t, lookWait, p.wait(now.Add(lossySpan-1), false, false))
	require.Equal(t, lookWait, p.wait(now.Add(lossySpan), true, false))
}

func TestCallPace_SlowOwnerLooksNoMore(t *testing.T) {
	var p callPace
	now := time.UnixMilli(1_000_000)
	p.answeredAgain(now, promptAnswer+1)
	require.Equal(t, orderTimeouts, p.orders(now), "a slow owner sends orders more often")
	require.Equal(t, lookAnswer, p.answer(now))
	require.Equal(t, lookWait, p.wait(now, true, false))
}
