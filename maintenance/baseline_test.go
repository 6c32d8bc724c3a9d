package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/shares"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// fixedSize drains a new group of the given size once the last one is back.
func fixedSize(size int) decider {
	return func(s *statemachine.State, o Observation, p Params, now time.Time) Plan {
		plan := Decide(s, o, p, now)
		var out Plan
		drains := 0
		for _, a := range plan.Actions {
			if a.Kind != ActionDrain {
				out.Actions = append(out.Actions, a)
			}
		}
		if s.UnderMaintenance.Len() > 0 {
			return out
		}
		for _, vm := range s.VMs.All() {
			if drains < size && vm.Available() && vm.MaintainedBy != "w" {
				out.Actions = append(out.Actions, Action{Kind: ActionDrain, Wave: "w", VM: vm})
				drains++
			}
		}
		return out
	}
}

// oneAtATime keeps one VM under maintenance and lends none.
func oneAtATime(s *statemachine.State, o Observation, p Params, now time.Time) Plan {
	return fixedSize(1)(s, o, p, now)
}

// shortfall wraps a decider and adds up the VM time by which pools were below
// their own size.
func shortfall(m *model) time.Duration {
	missing := 0
	for name, usage := range m.state.PoolUsage.All() {
		pool, _ := m.state.Pools.Get(name)
		own := usage.VMs - lentByPool(m.state)[name]
		if !pool.Spare {
			missing += max(0, own-(usage.VMs-usage.Unavailable))
		}
	}
	return time.Duration(missing) * modelTick
}

// outcome is what a way to plan has cost.
type outcome struct {
	took, lent, short time.Duration
	moves             int
	voids, breaches   int
	// distance is the mean over teams and time of the part of their shares that
	// teams lack while each asks for its whole upper limit.
	distance float64
}

// sharesOf returns the slots of each team of a user if the fleet has the given
// number and each team asks for its whole upper limit.
func sharesOf(t testing.TB, user string, slots float64) []float64 {
	catalog, err := examples.Catalog(user)
	require.NoError(t, err)
	claims := make([]shares.TeamDemand, len(catalog.Workspaces))
	for i, w := range catalog.Workspaces {
		claims[i] = shares.TeamDemand{Weight: float64(w.SharePermille), Demand: float64(w.Limit), Limit: float64(w.Limit)}
	}
	return shares.Compute(slots, claims)
}

// distance is the mean part of their shares that the teams lack now.
func (m *model) distance(user string) float64 {
	const slotsPerVM = 8
	own, serving := 0, 0
	lent := lentByPool(m.state)
	for name, usage := range m.state.PoolUsage.All() {
		if pool, _ := m.state.Pools.Get(name); !pool.Spare {
			own += usage.VMs - lent[name]
			serving += usage.VMs - usage.Unavailable
		}
	}
	owed, got := sharesOf(m.t, user, float64(own*slotsPerVM)), sharesOf(m.t, user, float64(serving*slotsPerVM))
	sum := 0.0
	for i := range owed {
		sum += max(0, owed[i]-got[i]) / owed[i]
	}
	return sum / float64(len(owed))
}

// measure runs a wave while each pool needs the given number of VMs.
func measure(t testing.TB, user string, size fleetSize, decide decider, need int) outcome {
	m := newModel(t, size, weightsOf(t, user), decide, 1)
	m.need = make(map[string]int)
	for name, pool := range m.state.Pools.All() {
		if !pool.Spare {
			m.need[name] = need
		}
	}
	m.startWave(100)
	out := outcome{}
	start := m.now
	for !m.wave().State.Finished() && m.now.Sub(start) < modelLimit {
		m.step("p1")
		out.short += shortfall(m)
		out.distance += m.distance(user) * float64(modelTick)
	}
	out.distance /= float64(m.now.Sub(start))
	require.Equal(t, statemachine.WaveDone, m.wave().State)
	require.Zero(t, m.cut)
	out.took, out.lent, out.moves, out.voids, out.breaches = m.now.Sub(start), m.lentTime, m.moves, m.voids, m.breaches
	return out
}

// TestMeasure_AgainstBaselines holds the plans of both users, over pools that
// need nothing and pools that need more than they hold, against one VM at a
// time, groups of a fixed size and a fleet without spare VMs.
func TestMeasure_AgainstBaselines(t *testing.T) {
	const full = 50
	noSpare := userFleet
	noSpare.spares = 0
	for _, user := range examples.Users {
		rows := []struct {
			name string
			out  outcome
		}{
			{"planner, idle", measure(t, user, userFleet, Decide, 0)},
			{"planner, full", measure(t, user, userFleet, Decide, full)},
			{"one at a time", measure(t, user, userFleet, oneAtATime, full)},
			{"groups of 5", measure(t, user, userFleet, fixedSize(5), full)},
			{"no spare, idle", measure(t, user, noSpare, Decide, 0)},
			{"no spare, full", measure(t, user, noSpare, Decide, full)},
		}
		for _, row := range rows {
			t.Logf("%-8s %-14s took %-9v moves %d, spare lent %.1f VM-h, below own size %.1f VM-h, distance from shares %.2f %%, void %d, breaches %d",
				user, row.name, row.out.took, row.out.moves, row.out.lent.Hours(), row.out.short.Hours(), 100*row.out.distance, row.out.voids, row.out.breaches)
			require.Zero(t, row.out.breaches)
		}
		require.LessOrEqual(t, 2*rows[0].out.took, rows[2].out.took)
		require.LessOrEqual(t, 2*rows[1].out.took, rows[2].out.took)
	}
}

// leastMoves searches all ways to lend single spare VMs so that each of the
// pools has one at some time and all are home at the end, with at most width
// of them out at once and the pools taken in at most rounds turns.
func leastMoves(pools, width, rounds int) int {
	type place struct{ left, out, rounds int }
	memo := make(map[place]int)
	const never = 1 << 20
	var search func(p place) int
	search = func(p place) int {
		if p.left == 0 {
			return p.out
		}
		if p.rounds == 0 {
			return never
		}
		if least, ok := memo[p]; ok {
			return least
		}
		least := never
		for served := 1; served <= min(width, p.left); served++ {
			for home := 0; home <= p.out; home++ {
				stay := p.out - home
				fresh := max(0, served-stay)
				next := place{left: p.left - served, out: stay + fresh, rounds: p.rounds - 1}
				least = min(least, home+served+search(next))
			}
		}
		memo[p] = least
		return least
	}
	return search(place{left: pools, rounds: rounds})
}

// TestMeasure_MovesAgainstTheLeast holds the moves against an exhaustive
// search over small fleets, at no more than the planner's time.
func TestMeasure_MovesAgainstTheLeast(t *testing.T) {
	for pools := 2; pools <= 6; pools++ {
		size := fleetSize{pools: pools, vmsPerPool: 4, spares: 2, perRack: 2, zones: 2, budget: 2}
		out := measure(t, "pakhtun", size, Decide, size.vmsPerPool)
		least := leastMoves(pools, minLentPools, (pools+minLentPools-1)/minLentPools)
		t.Logf("%d pools: %d moves, least %d", pools, out.moves, least)
		require.LessOrEqual(t, 10*out.moves, 11*least)
	}
}
