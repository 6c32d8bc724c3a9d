package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/shares"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// fixedSize drains a group of the given size once the previous one is back.
func fixedSize(size int) decideFunc {
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

// vmTimeBelowSize returns the VM time by which pools are below their own size
// during one tick.
func vmTimeBelowSize(m *fleetModel) time.Duration {
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

// measurement is the cost of a wave under one planning strategy.
type measurement struct {
	duration, lentVMTime, belowSizeTime time.Duration
	moves                               int
	rejected, budgetViolations          int
	// shareDeficit is the mean over teams and time of the fraction of their
	// shares that teams lack while each demands its whole upper limit.
	shareDeficit float64
}

// teamShares returns the slots of each team of a user if the fleet has the
// given number and each team demands its whole upper limit.
func teamShares(t testing.TB, user string, slots float64) []float64 {
	catalog, err := examples.Catalog(user)
	require.NoError(t, err)
	demands := make([]shares.TeamDemand, len(catalog.Workspaces))
	for i, w := range catalog.Workspaces {
		demands[i] = shares.TeamDemand{Weight: float64(w.SharePermille), Demand: float64(w.Limit), Limit: float64(w.Limit)}
	}
	return shares.Compute(slots, demands)
}

// shareDeficit is the mean fraction of their shares that the teams lack now.
func (m *fleetModel) shareDeficit(user string) float64 {
	const slotsPerVM = 8
	own, inService := 0, 0
	lent := lentByPool(m.state)
	for name, usage := range m.state.PoolUsage.All() {
		if pool, _ := m.state.Pools.Get(name); !pool.Spare {
			own += usage.VMs - lent[name]
			inService += usage.VMs - usage.Unavailable
		}
	}
	entitled, current := teamShares(m.t, user, float64(own*slotsPerVM)), teamShares(m.t, user, float64(inService*slotsPerVM))
	sum := 0.0
	for i := range entitled {
		sum += max(0, entitled[i]-current[i]) / entitled[i]
	}
	return sum / float64(len(entitled))
}

// measure runs a wave while each pool needs the given number of VMs.
func measure(t testing.TB, user string, size fleetSize, decide decideFunc, requiredVMs int) measurement {
	m := newFleetModel(t, size, userWeights(t, user), decide, 1)
	m.requiredVMs = make(map[string]int)
	for name, pool := range m.state.Pools.All() {
		if !pool.Spare {
			m.requiredVMs[name] = requiredVMs
		}
	}
	m.startWave(100)
	out := measurement{}
	start := m.now
	for !m.wave().State.Finished() && m.now.Sub(start) < modelLimit {
		m.step("p1")
		out.belowSizeTime += vmTimeBelowSize(m)
		out.shareDeficit += m.shareDeficit(user) * float64(modelTick)
	}
	out.shareDeficit /= float64(m.now.Sub(start))
	require.Equal(t, statemachine.WaveDone, m.wave().State)
	require.Zero(t, m.interruptedTasks)
	out.duration, out.lentVMTime, out.moves, out.rejected, out.budgetViolations = m.now.Sub(start), m.lentTime, m.moves, m.rejected, m.budgetViolations
	return out
}

// TestMeasure_AgainstBaselines compares the plans of both users, over pools
// that need no VM and pools that need more than they have, with one VM at a
// time, groups of a fixed size and a fleet without spare VMs.
func TestMeasure_AgainstBaselines(t *testing.T) {
	const full = 50
	noSpare := userFleet
	noSpare.spares = 0
	for _, user := range examples.Users {
		rows := []struct {
			name string
			out  measurement
		}{
			{"planner, idle", measure(t, user, userFleet, Decide, 0)},
			{"planner, full", measure(t, user, userFleet, Decide, full)},
			{"one at a time", measure(t, user, userFleet, oneAtATime, full)},
			{"groups of 5", measure(t, user, userFleet, fixedSize(5), full)},
			{"no spare, idle", measure(t, user, noSpare, Decide, 0)},
			{"no spare, full", measure(t, user, noSpare, Decide, full)},
		}
		for _, row := range rows {
			t.Logf("%-8s %-14s took %-9v moves %d, spare lent %.1f VM-h, below own size %.1f VM-h, share deficit %.2f %%, rejected %d, budget violations %d",
				user, row.name, row.out.duration, row.out.moves, row.out.lentVMTime.Hours(), row.out.belowSizeTime.Hours(), 100*row.out.shareDeficit, row.out.rejected, row.out.budgetViolations)
			require.Zero(t, row.out.budgetViolations)
		}
		require.LessOrEqual(t, 2*rows[0].out.duration, rows[2].out.duration)
		require.LessOrEqual(t, 2*rows[1].out.duration, rows[2].out.duration)
	}
}

// minMoves searches all schedules that lend each of the pools one spare VM at
// some time and return all of them in the end, with at most maxOnLoan out
// at once and in at most the given number of rounds.
func minMoves(pools, maxOnLoan, rounds int) int {
	type searchState struct{ left, onLoan, rounds int }
	memo := make(map[searchState]int)
	const unreachable = 1 << 20
	var search func(p searchState) int
	search = func(p searchState) int {
		if p.left == 0 {
			return p.onLoan
		}
		if p.rounds == 0 {
			return unreachable
		}
		if best, ok := memo[p]; ok {
			return best
		}
		best := unreachable
		for served := 1; served <= min(maxOnLoan, p.left); served++ {
			for returned := 0; returned <= p.onLoan; returned++ {
				stillOnLoan := p.onLoan - returned
				newLoans := max(0, served-stillOnLoan)
				next := searchState{left: p.left - served, onLoan: stillOnLoan + newLoans, rounds: p.rounds - 1}
				best = min(best, returned+served+search(next))
			}
		}
		memo[p] = best
		return best
	}
	return search(searchState{left: pools, rounds: rounds})
}

// TestMeasure_MovesAgainstMinimum compares the moves with an exhaustive search
// over small fleets, limited to the planner's number of rounds.
func TestMeasure_MovesAgainstMinimum(t *testing.T) {
	for pools := 2; pools <= 6; pools++ {
		size := fleetSize{pools: pools, vmsPerPool: 4, spares: 2, perRack: 2, zones: 2, budget: 2}
		out := measure(t, "pakhtun", size, Decide, size.vmsPerPool)
		minimum := minMoves(pools, minLentPools, (pools+minLentPools-1)/minLentPools)
		t.Logf("%d pools: %d moves, minimum %d", pools, out.moves, minimum)
		require.LessOrEqual(t, 10*out.moves, 11*minimum)
	}
}
