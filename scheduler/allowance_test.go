package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// rankedJobs returns the jobs that wait, most urgent first, at the pressure on the pool.
func (f *testFleet) rankedJobs(pressure float64) []string {
	pools := f.s.newRound(f.now)
	pools[testPool].pressure = pressure
	var order []string
	for _, r := range f.s.rankedSteps(pools, f.now) {
		order = append(order, r.step.occurrence.job.sub.ID)
	}
	return order
}

// TestAllowance_JobsBeyondYield submits more jobs in a second than the team's weight: while
// the pool is under pressure, those beyond come after a late job of another team, also for
// a leader that takes over. Without the policy and without pressure the slack decides.
func TestAllowance_JobsBeyondYield(t *testing.T) {
	for _, on := range []bool{false, true} {
		f := newTestFleet(t)
		f.addWorker("w-1", testPool, 1)
		f.advance(100 * time.Millisecond)
		start := func() {
			f.s.cfg.Policies.Entitlement = on
			f.s.SetManifest(teamManifest(map[string]int64{"hot": 2}), f.now)
		}
		start()
		var subs []*fleet.Submission
		for i, id := range []string{"h1", "h2", "h3", "h4"} {
			sub := f.newJob(id, fleet.Step{EstimateMillis: 1000})
			sub.Team, sub.ArrivedMillis = "hot", f.now.UnixMilli()-int64(40-10*i)
			subs = append(subs, sub)
		}
		late := f.newJob("late", fleet.Step{EstimateMillis: 1000})
		late.ArrivedMillis -= 1400
		subs = append(subs, late)
		for _, sub := range subs {
			f.s.Submit(sub, f.now)
		}
		bySlack := []string{"h1", "h2", "h3", "h4", "late"}
		underPressure := bySlack
		if on {
			underPressure = []string{"h1", "h2", "late", "h3", "h4"}
		}
		require.Equal(t, bySlack, f.rankedJobs(1))
		require.Equal(t, underPressure, f.rankedJobs(fullMarginPressure))

		f.s = f.newLeader(2)
		start()
		for _, sub := range subs {
			f.s.RestoreJob(readBack(t, sub), f.now)
		}
		f.advance(50 * time.Millisecond)
		require.Equal(t, len(subs), len(f.s.jobs))
		for _, sub := range subs {
			require.Equal(t, on && (sub.ID == "h3" || sub.ID == "h4"), f.s.jobs[sub.ID].beyond, sub.ID)
		}
	}
}
