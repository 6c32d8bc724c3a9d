package lateness

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func TestMonitor_ReadingRisesAtOnceAndFallsSlowly(t *testing.T) {
	m := NewMonitor(clockwork.NewFakeClock())
	require.Zero(t, m.Allowance())
	m.record(negligible - 1)
	require.Zero(t, m.Allowance(), "negligible lateness extends calls")
	m.record(160 * time.Millisecond)
	require.Equal(t, 160*time.Millisecond, m.Current())
	require.Equal(t, 320*time.Millisecond, m.Allowance())
	m.record(0)
	require.Equal(t, 140*time.Millisecond, m.Current())
	m.record(time.Minute)
	require.Equal(t, maxAllowance, m.Allowance())
}

func TestMonitor_MeasuresLateTimers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := NewMonitor(clock)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	measured := make(chan time.Duration, 1)
	go m.Run(ctx, func(late time.Duration) { measured <- late })
	const late = 300 * time.Millisecond
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	clock.Advance(probeInterval + late)
	require.Equal(t, late, <-measured)
	require.Equal(t, late, m.Current())
}
