package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

func secondsToMillis(n float64) int64 { return int64(n * 1000) }

// TestPlace_MinSlackFirst simulates a full pool with small and large jobs: shortest job
// first would make the large one miss its deadline. All of them can be on time by the
// margin over their estimates.
func TestPlace_MinSlackFirst(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 2)
	f.advance(100 * time.Millisecond)
	large := f.newJob("large", fleet.Step{Count: 2, EstimateMillis: secondsToMillis(0.5)}, fleet.Step{Count: 2, EstimateMillis: secondsToMillis(0.5), DependsOn: []int{0}})
	f.s.Submit(large, f.now)
	f.now = f.now.Add(600 * time.Millisecond)
	for i := range 6 {
		f.s.Submit(f.newJob(jobID(i), fleet.Step{EstimateMillis: secondsToMillis(0.3)}), f.now)
	}
	f.advance(50 * time.Millisecond)
	require.Equal(t, 2, total(f.running("large")), "the job with the least slack does not run first")
}

// TestPlace_TightWorkYields simulates overload: a job that is on time only if its
// estimate holds goes after those that can take longer, and before late ones.
func TestPlace_TightWorkYields(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 1)
	f.advance(100 * time.Millisecond)
	step := fleet.Step{EstimateMillis: secondsToMillis(1)}
	late, tight := f.newJob("late", step), f.newJob("tight", step)
	late.ArrivedMillis -= secondsToMillis(1.4)
	tight.ArrivedMillis -= secondsToMillis(0.9) // 0.3 s of slack for a second of work.
	f.s.Submit(late, f.now)
	f.s.Submit(tight, f.now)
	f.s.Submit(f.newJob("new", step), f.now)
	pools := f.s.newRound(f.now)
	pools[testPool].pressure = fullMarginPressure
	var order []string
	for _, r := range f.s.rankedSteps(pools, f.now) {
		order = append(order, r.step.occurrence.job.sub.ID)
	}
	require.Equal(t, []string{"new", "tight", "late"}, order)
	f.advance(50 * time.Millisecond)
	require.Equal(t, 1, total(f.running("new")))
}

// TestPlace_LateWorkYields simulates overload: jobs that can be on time go before those
// that cannot.
func TestPlace_LateWorkYields(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 1)
	f.advance(100 * time.Millisecond)
	old := f.newJob("old", fleet.Step{EstimateMillis: secondsToMillis(1)})
	old.ArrivedMillis -= secondsToMillis(5)
	f.s.Submit(old, f.now)
	f.s.Submit(f.newJob("new", fleet.Step{EstimateMillis: secondsToMillis(1)}), f.now)
	f.advance(50 * time.Millisecond)
	require.Equal(t, 1, total(f.running("new")))
	require.Zero(t, total(f.running("old")))
	f.advance(2500 * time.Millisecond)
	require.True(t, f.s.jobs["old"].finished, "the late job never finishes")
}

// TestPlace_RespectsTeamLimit checks that a team never exceeds its limit.
func TestPlace_RespectsTeamLimit(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 16)
	f.advance(100 * time.Millisecond)
	job := f.newJob("capped", fleet.Step{Count: 10, EstimateMillis: secondsToMillis(5)})
	job.Team = "team"
	f.s.Submit(job, f.now)
	f.advance(200 * time.Millisecond)
	require.Equal(t, 6, total(f.running("capped")))
}

// TestPlace_Constraints covers labels, anti-affinity between tasks, racks and gangs.
func TestPlace_Constraints(t *testing.T) {
	f := newTestFleet(t)
	for _, id := range []string{"w-1", "w-2", "w-3"} {
		f.addWorker(id, testPool, 4)
	}
	f.advance(100 * time.Millisecond)
	f.s.Submit(f.newJob("apart", fleet.Step{Count: 3, EstimateMillis: secondsToMillis(9), MaxPerWorker: 1}), f.now)
	f.s.Submit(f.newJob("near", fleet.Step{Count: 2, EstimateMillis: secondsToMillis(9), DataRack: "r-w-2"}), f.now)
	f.s.Submit(f.newJob("label", fleet.Step{EstimateMillis: secondsToMillis(9), Label: "r-w-3"}), f.now)
	f.s.Submit(f.newJob("nowhere", fleet.Step{EstimateMillis: secondsToMillis(9), Label: "none"}), f.now)
	f.advance(200 * time.Millisecond)
	require.Equal(t, map[string]int{"w-1": 1, "w-2": 1, "w-3": 1}, f.running("apart"))
	require.Equal(t, map[string]int{"w-2": 2}, f.running("near"))
	require.Equal(t, map[string]int{"w-3": 1}, f.running("label"))
	require.Empty(t, f.running("nowhere"))

	f.s.Submit(f.newJob("gang", fleet.Step{Count: 9, EstimateMillis: secondsToMillis(9), Gang: true}), f.now)
	f.advance(200 * time.Millisecond)
	require.Empty(t, f.running("gang"), "a part of a gang runs")
	f.s.Submit(f.newJob("small gang", fleet.Step{Count: 3, EstimateMillis: secondsToMillis(9), Gang: true, RackLocal: true}), f.now)
	f.advance(200 * time.Millisecond)
	require.Len(t, f.running("small gang"), 1, "the gang is on more than one rack")
}

// TestPlace_ImpossibleTaskHoldsNobodyUp submits a task that no worker can hold: a team
// beyond its share still gets the room that is left.
func TestPlace_ImpossibleTaskHoldsNobodyUp(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 4)
	f.advance(100 * time.Millisecond)
	submit := func(id, team string, count int, milliCPU int64) {
		job := f.newJob(id, fleet.Step{Count: count, EstimateMillis: 1000, Need: fleet.Resources{MilliCPU: milliCPU}})
		job.Team = team
		f.s.Submit(job, f.now)
	}
	submit("impossible", "small", 1, 5000)
	submit("surge", "large", 8, 1000)
	f.advance(100 * time.Millisecond)
	require.Equal(t, 4, total(f.running("surge")))
	require.Zero(t, total(f.running("impossible")))
}
