package command

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestWatch_IsBounded checks the number of looks, and that the time bound and a
// signal's end of the context end them without an error, even in the middle of
// a look that then fails.
func TestWatch_IsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watch{every: time.Second, limit: 9500 * time.Millisecond}
		looks := 0
		report := func(err error) { t.Error("reported:", err) }
		until := func(ctx context.Context) error {
			looks++
			if looks == 10 {
				<-ctx.Done()
			}
			return ctx.Err()
		}
		require.NoError(t, w.run(context.Background(), report, until))
		require.Equal(t, 10, looks)

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		looks = 0
		require.NoError(t, w.run(ctx, report, func(ctx context.Context) error {
			if looks++; looks == 3 {
				cancel()
			}
			return ctx.Err()
		}))
		require.Equal(t, 3, looks)
	})
}

// TestWatch_FirstLookMustSucceed checks that a look that fails at first ends
// the command, and a later one is reported and followed by others.
func TestWatch_FirstLookMustSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watch{every: time.Second, limit: 9500 * time.Millisecond}
		fault := errors.New("no entry")
		never := func(error) { t.Error("reported") }
		require.ErrorIs(t, w.run(context.Background(), never, func(context.Context) error { return fault }), fault)

		looks, reported := 0, 0
		count := func(error) { reported++ }
		require.NoError(t, w.run(context.Background(), count, func(context.Context) error {
			if looks++; looks == 4 || looks == 5 {
				return fault
			}
			return nil
		}))
		require.Equal(t, 10, looks)
		require.Equal(t, 2, reported)
	})
}

// TestWatch_CheckNamesTheFlag lists flags out of their bounds.
func TestWatch_CheckNamesTheFlag(t *testing.T) {
	require.NoError(t, (&watch{every: time.Second, limit: time.Hour}).check())
	require.ErrorContains(t, (&watch{every: time.Millisecond, limit: time.Hour}).check(), "-every is 1ms")
	require.ErrorContains(t, (&watch{every: time.Second}).check(), "-for is 0s")
	require.ErrorContains(t, (&watch{every: time.Second, limit: 25 * time.Hour}).check(), "-for is 25h0m0s")
}

// TestOverview_SumsEntries checks the sums over entries, the rates between two
// looks, and that there are none if not the same number of entries answered.
func TestOverview_SumsEntries(t *testing.T) {
	at := time.Unix(1000, 0)
	look := func(after time.Duration, before *overview, demands ...int64) *overview {
		out := &overview{At: at.Add(after)}
		teams := make(map[string]*teamOverview)
		for _, demand := range demands {
			out.add(api.Status{Current: true, Teams: map[string]quota.Usage{"porto": {Running: 2, Allotted: 5, Demand: demand}}}, teams)
		}
		out.finish(teams, before)
		return out
	}
	first := look(0, nil, 10, 20)
	require.Equal(t, 4, first.Teams[0].Running)
	require.Equal(t, 10, first.Teams[0].Allotted)
	require.Zero(t, first.Teams[0].StartsPerSecond)
	require.InDelta(t, 15, look(2*time.Second, first, 25, 35).Teams[0].StartsPerSecond, 1e-9)
	require.Zero(t, look(2*time.Second, first, 25).Teams[0].StartsPerSecond)
}

// TestCountPools_ByCondition checks that each VM counts once.
func TestCountPools_ByCondition(t *testing.T) {
	vm := func(pool string, condition statemachine.Condition, step statemachine.Step) statemachine.VM {
		return statemachine.VM{Pool: pool, Condition: condition, Maintenance: statemachine.Maintenance{Step: step}}
	}
	pools := countPools([]statemachine.VM{
		vm("b", statemachine.ConditionHealthy, statemachine.StepServing),
		vm("a", statemachine.ConditionHealthy, statemachine.StepServing),
		vm("a", statemachine.ConditionHealthy, statemachine.StepRebooting),
		vm("a", statemachine.ConditionFailed, statemachine.StepServing),
	})
	require.Equal(t, []poolOverview{
		{Pool: "a", VMs: 3, InService: 1, Maintenance: 1, Failed: 1}, {Pool: "b", VMs: 1, InService: 1},
	}, pools)
	var out bytes.Buffer
	require.NoError(t, (&overview{Pools: pools}).print(&out))
	require.Contains(t, out.String(), "IN SERVICE")
}
