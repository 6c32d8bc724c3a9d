package sizing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// observe lets the mover see the same demand for a while.
func observe(m *MovePlanner, from time.Time, lasts time.Duration, sizes map[string]PoolSize, demand, costs map[string]float64, busy map[string]bool) time.Time {
	for end := from.Add(lasts); from.Before(end); from = from.Add(time.Second) {
		m.Observe(from, sizes, demand, costs, busy)
	}
	return from
}

// TestMover_WaitsForTheCost checks that a move is due once the shortage has
// cost as much as the move, and not while a step concerns one of its pools.
func TestMover_WaitsForTheCost(t *testing.T) {
	sizes := map[string]PoolSize{
		"short": {VMs: 4, InService: 4, Slots: 32, HealthySlots: 32},
		"idle":  {VMs: 4, InService: 4, Slots: 32, HealthySlots: 32},
		"spare": {VMs: 4, InService: 4, Slots: 32, HealthySlots: 32, Spare: true},
	}
	demand := map[string]float64{"short": 60, "idle": 4}
	costs := map[string]float64{"short": 100, "idle": 10, "spare": 0}
	want := []Move{{From: "idle", To: "short"}}
	m := NewMovePlanner()
	now := observe(m, start, 100*time.Second, sizes, demand, costs, nil)
	require.Empty(t, m.DueMoves(sizes, costs))
	now = observe(m, now, 10*time.Second, sizes, demand, costs, nil)
	require.Equal(t, want, m.DueMoves(sizes, costs))

	now = observe(m, now, time.Second, sizes, demand, costs, map[string]bool{"short": true})
	require.Empty(t, m.DueMoves(sizes, costs), "starts over after a step")
	now = observe(m, now, 110*time.Second, sizes, demand, costs, nil)
	require.Equal(t, want, m.DueMoves(sizes, costs))
	observe(m, now, 20*time.Second, sizes, map[string]float64{"short": 4, "idle": 60}, costs, nil)
	require.Empty(t, m.DueMoves(sizes, costs), "the demand has turned")
}

// TestMover_LeavesPoolsOfOneTemplate checks that nothing moves between pools
// that share their work, not even when one has lost VMs.
func TestMover_LeavesPoolsOfOneTemplate(t *testing.T) {
	s := fleet(t, map[string]int{"p1": 4, "p2": 4}, map[string][]string{"both": {"p1", "p2"}})
	next, _ := s.Apply(s.NextOffset, statemachine.Batch{Writer: "watch", Records: []statemachine.Record{
		{Seq: 1, Command: &statemachine.VMFailed{VM: "p1a", Condition: statemachine.ConditionFailed}},
		{Seq: 2, Command: &statemachine.VMFailed{VM: "p1b", Condition: statemachine.ConditionFailed}},
	}})
	sizes := PoolSizes(next)
	for _, load := range []float64{1, 30, 47, 48, 60, 190} {
		m := NewMovePlanner()
		costs := MoveCosts(next)
		demand := PoolDemand(next, sizes, map[string]Load{"both": {Running: load}})
		observe(m, start, time.Hour, sizes, demand, costs, nil)
		require.Empty(t, m.DueMoves(sizes, costs), "load %v", load)
	}
}

// TestCosts_ByWeights lists weights and the cost of a move in moves' times.
func TestCosts_ByWeights(t *testing.T) {
	for _, c := range []struct {
		weights statemachine.Weights
		want    float64
	}{
		{statemachine.Weights{}, 1},
		{statemachine.Weights{Shares: 0.5}, 1},
		{statemachine.Weights{Moves: 0.5, Shares: 0.5}, 2},
		{statemachine.Weights{Moves: 0.5}, math.Inf(1)},
	} {
		require.Equal(t, c.want*moveTime.Seconds(), cost(c.weights))
	}
}

// TestChoose lists fleets and whether a due move begins.
func TestChoose(t *testing.T) {
	due := []Move{{From: "p1", To: "p2"}}
	for _, c := range []struct {
		name string
		pool statemachine.Pool
		zone int
		need int
		want string
	}{
		{"free", statemachine.Pool{MaxUnavailable: 1}, 1, 3, "p1a"},
		{"no room in the budget", statemachine.Pool{}, 1, 3, ""},
		{"no room in the zone", statemachine.Pool{MaxUnavailable: 1}, 0, 3, ""},
		{"at its least size", statemachine.Pool{MaxUnavailable: 1, MinVMs: 4}, 1, 3, ""},
		{"needs the VM itself", statemachine.Pool{MaxUnavailable: 1}, 1, 4, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := fleet(t, map[string]int{"p1": 4, "p2": 1}, nil)
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
