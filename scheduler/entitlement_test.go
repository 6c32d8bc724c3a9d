package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/fleet"
)

func teamManifest(weights map[string]int64) *fleet.Manifest {
	m := testManifest()
	m.Version = 2
	for name, weight := range weights {
		m.Teams[name] = fleet.Team{Name: name, Weight: weight}
	}
	return m
}

// entitledFleet returns a fleet of VMs without spare ones, two teams of equal weight, and
// the policy on or off.
func entitledFleet(t testing.TB, on bool, deskVMs int) *testFleet {
	f := newTestFleet(t)
	f.s.cfg.Policies.Entitlement = on
	f.s.SetManifest(teamManifest(map[string]int64{"hot": 100, "calm": 100}), f.now)
	for i := range deskVMs {
		f.addVM(fmt.Sprintf("d%02d", i), testPool, 8)
	}
	for i := range minPoolVMs {
		f.addVM(fmt.Sprintf("o%02d", i), otherPool, 8)
	}
	f.advanceAndPlan(300 * time.Millisecond)
	return f
}

// surge submits what one team sends to the desk queue in 100 ms: nine times the fleet.
func (f *testFleet) surge(jobs *int) {
	for range 20 {
		job := f.newJob(fmt.Sprintf("a%015x", *jobs), fleet.Step{Count: 8, EstimateMillis: 900})
		job.Team = "hot"
		*jobs++
		f.s.Submit(job, f.now)
	}
}

// beginTurn submits what the other team sends to the next queue in 100 ms.
func (f *testFleet) beginTurn(round int) {
	for i := range 2 {
		job := f.newJob(fmt.Sprintf("b%015x", 2*round+i), fleet.Step{Count: 8, EstimateMillis: 800})
		job.Queue, job.Team = "books", "calm"
		f.s.Submit(job, f.now)
	}
}

// movesToNextTurn replays a team's surge in one queue while the next queue's turn begins,
// and returns how many VMs that gets within a second and a half; takeover puts a new
// leader in office as it begins, which has half a second more.
func movesToNextTurn(t *testing.T, on, takeover bool) int {
	rounds := 15
	const deskVMs = 20
	f := entitledFleet(t, on, deskVMs)
	jobs, moved := 0, map[string]bool{}
	for range 8 {
		f.surge(&jobs)
		f.advanceAndPlan(100 * time.Millisecond)
	}
	if takeover {
		rounds = 20 // The new leader polls the workers first.
		var subs []*fleet.Submission
		for _, j := range f.s.jobs {
			subs = append(subs, j.sub)
		}
		f.takeover(f.recorded, subs...)
		f.s.cfg.Policies.Entitlement = on
		f.s.SetManifest(teamManifest(map[string]int64{"hot": 100, "calm": 100}), f.now)
	}
	for round := range rounds {
		f.surge(&jobs)
		f.beginTurn(round)
		for _, o := range f.advanceAndPlan(100 * time.Millisecond) {
			if o.Pool == otherPool {
				moved[o.VM] = true
			}
		}
	}
	return len(moved)
}

// TestEntitlement_SurgeLeavesVMsToTheNextTurn replays one team's surge beside the turn of
// the next queue. That team is entitled to half of the 23 VMs, of which three are in its
// pool: at least half of the others must follow.
func TestEntitlement_SurgeLeavesVMsToTheNextTurn(t *testing.T) {
	require.Zero(t, movesToNextTurn(t, false, false), "the surge does not hold the VMs without the policy: the test proves nothing")
	require.GreaterOrEqual(t, movesToNextTurn(t, true, false), 5)
	require.GreaterOrEqual(t, movesToNextTurn(t, true, true), 5, "not after a takeover in the middle")
}

// TestEntitlement_NoEffectInCalm plays a load that the fleet holds, with and without the
// policy: the stored decisions are the same.
func TestEntitlement_NoEffectInCalm(t *testing.T) {
	play := func(on bool) []ledgerRecord {
		f := entitledFleet(t, on, 6)
		for i := range 40 {
			job := f.newJob(jobID(i), fleet.Step{Count: 4, EstimateMillis: 400})
			job.Team = []string{"hot", "calm", ""}[i%3]
			f.s.Submit(job, f.now)
			f.advanceAndPlan(100 * time.Millisecond)
		}
		require.Empty(t, f.eventsOf("team.over_entitlement"))
		return f.recorded
	}
	require.Equal(t, len(play(false)), len(play(true)))
}

// TestAllowance_Rate checks the allowance against its definition: no interval lets more
// pass than the weight times its length and one period, and a team that keeps to its
// weight loses nothing.
func TestAllowance_Rate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Int64Range(1, 50).Draw(t, "weight")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 200).Draw(t, "gaps in ms")
		var a, steady allowance
		at := time.UnixMilli(1_000_000)
		var passed []time.Time
		for i, gap := range gaps {
			at = at.Add(time.Duration(gap) * time.Millisecond)
			if a.take(weight, at) {
				passed = append(passed, at)
			}
			require.True(t, steady.take(weight, time.UnixMilli(0).Add(time.Duration(i)*time.Second/time.Duration(weight))))
		}
		for i := range passed {
			for k := i; k < len(passed); k++ {
				most := float64(weight) * (passed[k].Sub(passed[i]) + allowancePeriod).Seconds()
				require.LessOrEqual(t, float64(k-i+1), most+1e-6)
			}
		}
	})
}

// TestDivideFleet_Properties checks that nobody gets more than is asked or there is, that
// nothing is left over, and that a team which asks no more than its weighted part gets it.
func TestDivideFleet_Properties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(0, 100_000).Draw(t, "capacity")
		teams := []*team{nil, {name: "a", weight: 1}, {name: "b", weight: 7}, {name: "c", weight: math.MaxInt32}}
		demands, asked, total, weights := map[demandKey]int64{}, map[*team]int64{}, int64(0), 0.0
		for range rapid.IntRange(1, 20).Draw(t, "demands") {
			key := demandKey{pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"), team: rapid.SampledFrom(teams).Draw(t, "team"), priority: rapid.IntRange(0, 2).Draw(t, "priority")}
			demands[key] = rapid.Int64Range(0, 50_000).Draw(t, "demand")
		}
		for key, demand := range demands {
			total += demand
			asked[key.team] += demand
		}
		division := divideFleet(capacity, demands)
		if total <= capacity {
			require.Nil(t, division)
			return
		}
		given, sum := map[*team]int64{}, int64(0)
		for key, amount := range division {
			require.LessOrEqual(t, amount, demands[key])
			given[key.team] += amount
			sum += amount
		}
		require.LessOrEqual(t, sum, capacity)
		require.GreaterOrEqual(t, sum, capacity-2*int64(len(demands)), "a part of the fleet is left over")
		for who := range asked {
			if who != nil {
				weights += float64(who.weight)
			}
		}
		if _, anonymous := asked[nil]; anonymous {
			return // Its weight is the mean of the others'.
		}
		for who, demand := range asked {
			if part := float64(capacity) * float64(who.weight) / weights; float64(demand) <= part {
				require.InDelta(t, demand, given[who], 2*float64(len(demands)))
			}
		}
	})
}

// TestEntitlement_OddWeights submits jobs of teams whose weight is missing, negative or
// beyond all bounds.
func TestEntitlement_OddWeights(t *testing.T) {
	f := entitledFleet(t, true, 2)
	f.s.SetManifest(teamManifest(map[string]int64{"hot": 100, "zero": 0, "less": -5, "huge": math.MaxInt64}), f.now)
	for i, name := range []string{"zero", "less", "huge", "", "unlisted"} {
		job := f.newJob(jobID(i), fleet.Step{Count: 8, EstimateMillis: 300})
		job.Team = name
		f.s.Submit(job, f.now)
	}
	f.s.SetManifest(f.s.manifest, f.now)
	require.Len(t, f.eventsOf("team.weight_invalid"), 2)
	f.advanceAndPlan(2 * time.Second)
	for i := range 5 {
		require.True(t, f.s.jobs[jobID(i)].finished, "the job of team %d does not end", i)
	}
}
