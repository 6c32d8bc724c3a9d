package sizing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// observeFor feeds the planner a constant demand for the duration.
func observeFor(planner *MovePlanner, from time.Time, duration time.Duration, sizes map[string]PoolSize, demand, costs map[string]float64, busy map[string]bool) time.Time {
	for end := from.Add(duration); from.Before(end); from = from.Add(time.Second) {
		planner.Observe(from, sizes, demand, costs, busy)
	}
	return from
}

// TestMovePlanner_DueOnceGainReachesCost checks that a move is due once the
// shortage has cost as much as the move, and not while a pool of it is busy.
func TestMovePlanner_DueOnceGainReachesCost(t *testing.T) {
	sizes := map[string]PoolSize{
		"short": {VMs: 4, InService: 4, Slots: 32, HealthySlots: 32},
		"idle":  {VMs: 4, InService: 4, Slots: 32, HealthySlots: 32},
		"spare": {VMs: 4, InService: 4, Slots: 32, HealthySlots: 32, Spare: true},
	}
	demand := map[string]float64{"short": 60, "idle": 4}
	costs := map[string]float64{"short": 100, "idle": 10, "spare": 0}
	want := []Move{{From: "idle", To: "short"}}
	planner := NewMovePlanner()
	now := observeFor(planner, start, 100*time.Second, sizes, demand, costs, nil)
	require.Empty(t, planner.DueMoves(sizes, costs))
	now = observeFor(planner, now, 10*time.Second, sizes, demand, costs, nil)
	require.Equal(t, want, planner.DueMoves(sizes, costs))

	now = observeFor(planner, now, time.Second, sizes, demand, costs, map[string]bool{"short": true})
	require.Empty(t, planner.DueMoves(sizes, costs), "the gain is reset after a busy pool")
	now = observeFor(planner, now, 110*time.Second, sizes, demand, costs, nil)
	require.Equal(t, want, planner.DueMoves(sizes, costs))
	observeFor(planner, now, 20*time.Second, sizes, map[string]float64{"short": 4, "idle": 60}, costs, nil)
	require.Empty(t, planner.DueMoves(sizes, costs), "the demand has reversed")
}

// TestMovePlanner_IgnoresPoolsOfOneTemplate checks that no VM moves between
// pools that run the same tasks, not even when VMs of one have failed.
func TestMovePlanner_IgnoresPoolsOfOneTemplate(t *testing.T) {
	s := newFleet(t, map[string]int{"p1": 4, "p2": 4}, map[string][]string{"both": {"p1", "p2"}})
	next, _ := s.Apply(s.NextOffset, statemachine.Batch{Writer: "watch", Records: []statemachine.Record{
		{Seq: 1, Command: &statemachine.VMFailed{VM: "p1a", Condition: statemachine.ConditionFailed}},
		{Seq: 2, Command: &statemachine.VMFailed{VM: "p1b", Condition: statemachine.ConditionFailed}},
	}})
	sizes := PoolSizes(next)
	for _, load := range []float64{1, 30, 47, 48, 60, 190} {
		planner := NewMovePlanner()
		costs := MoveCosts(next)
		demand := PoolDemand(next, sizes, map[string]Load{"both": {Running: load}})
		observeFor(planner, start, time.Hour, sizes, demand, costs, nil)
		require.Empty(t, planner.DueMoves(sizes, costs), "load %v", load)
	}
}

// TestMoveCost_ByWeights maps weights to the cost in units of moveDuration.
func TestMoveCost_ByWeights(t *testing.T) {
	for _, c := range []struct {
		weights statemachine.Weights
		want    float64
	}{
		{statemachine.Weights{}, 1},
		{statemachine.Weights{Shares: 0.5}, 1},
		{statemachine.Weights{Moves: 0.5, Shares: 0.5}, 2},
		{statemachine.Weights{Moves: 0.5}, math.Inf(1)},
	} {
		require.Equal(t, c.want*moveDuration.Seconds(), moveCost(c.weights))
	}
}

// TestChooseMove lists the conditions under which a due move may start.
func TestChooseMove(t *testing.T) {
	due := []Move{{From: "p1", To: "p2"}}
	for _, c := range []struct {
		name string
		pool statemachine.Pool
		zone int
		need int
		want string
	}{
		{"free", statemachine.Pool{MaxUnavailable: 1}, 1, 3, "p1a"},
		{"pool budget exhausted", statemachine.Pool{}, 1, 3, ""},
		{"zone budget exhausted", statemachine.Pool{MaxUnavailable: 1}, 0, 3, ""},
		{"at its minimum size", statemachine.Pool{MaxUnavailable: 1, MinVMs: 4}, 1, 3, ""},
		{"the pool needs the VM", statemachine.Pool{MaxUnavailable: 1}, 1, 4, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFleet(t, map[string]int{"p1": 4, "p2": 1}, nil)
			c.pool.Name = "p1"
			next, results := s.Apply(s.NextOffset, statemachine.Batch{Writer: "op2", Records: []statemachine.Record{
				{Seq: 1, Command: &statemachine.PoolSet{Pool: c.pool, Expected: 1}},
				{Seq: 2, Command: &statemachine.ZoneSet{Zone: statemachine.Zone{MaxUnavailable: c.zone}}},
			}})
			for _, result := range results {
				require.Nil(t, result.Rejection)
			}
			_, vm := ChooseMove(next, due, PoolSizes(next), map[string]int{"p1": c.need})
			if c.want == "" {
				require.Nil(t, vm)
				return
			}
			require.Equal(t, c.want, vm.ID)
		})
	}
}
