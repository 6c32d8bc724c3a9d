package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

func second(n float64) int64 { return int64(n * 1000) }

// TestPlace_LeastSlackFirst replays a pool that is full while small and large
// jobs come: shortest first would let the large one miss its deadline.
func TestPlace_LeastSlackFirst(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 2)
	b.pass(100 * time.Millisecond)
	large := b.job("large", fleet.Step{Count: 2, EstimateMillis: second(1)}, fleet.Step{Count: 2, EstimateMillis: second(1), DependsOn: []int{0}})
	b.s.Submit(large, b.now)
	b.now = b.now.Add(1200 * time.Millisecond)
	for i := range 6 {
		b.s.Submit(b.job(jobID(i), fleet.Step{EstimateMillis: second(0.3)}), b.now)
	}
	b.pass(50 * time.Millisecond)
	require.Equal(t, 2, total(b.running("large")), "the job with the least slack does not run first")
}

// TestPlace_HopelessWorkWaits replays overload: what can still be on time goes
// before what cannot.
func TestPlace_HopelessWorkWaits(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 1)
	b.pass(100 * time.Millisecond)
	old := b.job("old", fleet.Step{EstimateMillis: second(1)})
	old.ArrivedMillis -= second(5)
	b.s.Submit(old, b.now)
	b.s.Submit(b.job("new", fleet.Step{EstimateMillis: second(1)}), b.now)
	b.pass(50 * time.Millisecond)
	require.Equal(t, 1, total(b.running("new")))
	require.Zero(t, total(b.running("old")))
	b.pass(2500 * time.Millisecond)
	require.True(t, b.s.jobs["old"].ended, "late work is never done")
}

// TestPlace_TeamsLimit never runs more than the team's upper limit.
func TestPlace_TeamsLimit(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 16)
	b.pass(100 * time.Millisecond)
	job := b.job("capped", fleet.Step{Count: 10, EstimateMillis: second(5)})
	job.Team = "team"
	b.s.Submit(job, b.now)
	b.pass(200 * time.Millisecond)
	require.Equal(t, 6, total(b.running("capped")))
}

// TestPlace_Constraints covers labels, tasks that must not share a worker, racks
// and gangs.
func TestPlace_Constraints(t *testing.T) {
	b := newBench(t)
	for _, id := range []string{"w-1", "w-2", "w-3"} {
		b.addWorker(id, testPool, 4)
	}
	b.pass(100 * time.Millisecond)
	b.s.Submit(b.job("apart", fleet.Step{Count: 3, EstimateMillis: second(9), MaxPerWorker: 1}), b.now)
	b.s.Submit(b.job("near", fleet.Step{Count: 2, EstimateMillis: second(9), DataRack: "r-w-2"}), b.now)
	b.s.Submit(b.job("label", fleet.Step{EstimateMillis: second(9), Label: "r-w-3"}), b.now)
	b.s.Submit(b.job("nowhere", fleet.Step{EstimateMillis: second(9), Label: "none"}), b.now)
	b.pass(200 * time.Millisecond)
	require.Equal(t, map[string]int{"w-1": 1, "w-2": 1, "w-3": 1}, b.running("apart"))
	require.Equal(t, map[string]int{"w-2": 2}, b.running("near"))
	require.Equal(t, map[string]int{"w-3": 1}, b.running("label"))
	require.Empty(t, b.running("nowhere"))

	b.s.Submit(b.job("gang", fleet.Step{Count: 9, EstimateMillis: second(9), Gang: true}), b.now)
	b.pass(200 * time.Millisecond)
	require.Empty(t, b.running("gang"), "a part of a gang runs")
	b.s.Submit(b.job("small gang", fleet.Step{Count: 3, EstimateMillis: second(9), Gang: true, RackLocal: true}), b.now)
	b.pass(200 * time.Millisecond)
	require.Len(t, b.running("small gang"), 1, "the gang is on more than one rack")
}
