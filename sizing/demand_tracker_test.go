package sizing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

var start = time.UnixMilli(0)

// rotatingDemand is a demand in slots of five times the mean during the burst
// of each period and a twentieth of it in between.
func rotatingDemand(mean float64, at time.Duration) float64 {
	const period, burst = 30 * time.Second, 5760 * time.Millisecond
	if at%period < burst {
		return 5 * mean
	}
	return mean / 20
}

// TestDemandTracker_FollowsMeanOfRotatingDemand checks that a pool whose demand
// rotates within seconds requires the VMs for its mean. Sizing by the latest
// sample alone or by declared run times that are ten times too long fails.
func TestDemandTracker_FollowsMeanOfRotatingDemand(t *testing.T) {
	const mean, perVM = 40.0, 8.0
	sizes := map[string]PoolSize{"a": {VMs: 10, InService: 10, Slots: 80, HealthySlots: 80}}
	want := int(math.Ceil(mean / (perVM * maxMeanUtilization)))
	tracker := NewDemandTracker()
	previousNeed, changes := 0, 0
	for at := time.Duration(0); at < 20*time.Minute; at += time.Second {
		demand := rotatingDemand(mean, at)
		tracker.Observe(start.Add(at), map[string]float64{"a": demand})
		if latestNeed := int(math.Ceil(demand / (perVM * maxMeanUtilization))); latestNeed != previousNeed {
			previousNeed = latestNeed
			changes++
		}
		if at >= windowLength {
			require.InDelta(t, want, tracker.RequiredVMs(sizes)["a"], 1, "at %v", at)
		}
	}
	require.GreaterOrEqual(t, changes, 40, "the latest sample alone changes with each burst")
	declared := int(math.Ceil(10 * mean / (perVM * maxMeanUtilization)))
	require.Greater(t, declared, sizes["a"].VMs, "declared run times ten times too long require more VMs than the pool has")
}

// TestDemandTracker_RetainsPeakForWindowCount checks that the required VMs cover
// the highest window for as long as a VM may be out of service, and no longer.
func TestDemandTracker_RetainsPeakForWindowCount(t *testing.T) {
	sizes := map[string]PoolSize{"a": {VMs: 10, InService: 10, Slots: 80, HealthySlots: 80}}
	tracker := NewDemandTracker()
	now := start
	run := func(demand float64, duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(time.Second) {
			tracker.Observe(now, map[string]float64{"a": demand})
		}
	}
	run(64, 2*windowLength)
	run(8, (windowCount-2)*windowLength)
	require.Equal(t, 10, tracker.RequiredVMs(sizes)["a"])
	run(8, 3*windowLength)
	require.Equal(t, 2, tracker.RequiredVMs(sizes)["a"])
}

// TestDemandTracker_ClockSteps checks the time that clock steps count as.
func TestDemandTracker_ClockSteps(t *testing.T) {
	sizes := map[string]PoolSize{"a": {VMs: 10, Slots: 80}}
	for _, c := range []struct {
		name string
		step time.Duration
		want int
	}{
		{"a second", time.Second, 10},
		{"backwards", -time.Hour, 0},
		{"a long pause", time.Hour, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewDemandTracker()
			tracker.Observe(start, map[string]float64{"a": 8})
			tracker.Observe(start.Add(c.step), map[string]float64{"a": 64})
			require.Equal(t, c.want, tracker.RequiredVMs(sizes)["a"])
			require.Empty(t, tracker.pools["a"].past, "a clock step completes no window")
		})
	}
}

// newFleet returns a state with pools of the given numbers of VMs of 8 slots
// and one template with one team per set of pools.
func newFleet(t *testing.T, vms map[string]int, templates map[string][]string) *statemachine.State {
	s := statemachine.New()
	seq := uint64(0)
	apply := func(c statemachine.Command) {
		seq++
		next, results := s.Apply(s.NextOffset, statemachine.Batch{Writer: "op", Records: []statemachine.Record{{Seq: seq, Command: c}}})
		require.Nil(t, results[0].Rejection)
		s = next
	}
	for pool, count := range vms {
		apply(&statemachine.PoolSet{Pool: statemachine.Pool{Name: pool}})
		for i := range count {
			apply(&statemachine.VMAdd{VM: statemachine.VM{ID: pool + string(rune('a'+i)), Pool: pool, Slots: 8}})
		}
	}
	for name, pools := range templates {
		apply(&statemachine.TemplateSet{Template: statemachine.Template{Name: name, Pools: pools}})
		apply(&statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: name, Template: name, Team: name, Limit: 200}})
	}
	return s
}

// TestPoolDemand lists loads and the resulting demand by pool.
func TestPoolDemand(t *testing.T) {
	s := newFleet(t, map[string]int{"p1": 2, "p2": 6, "idle": 1}, map[string][]string{"both": {"p1", "p2"}, "one": {"p1"}})
	for _, c := range []struct {
		name  string
		loads map[string]Load
		want  map[string]float64
	}{
		{"none", nil, map[string]float64{"p1": 0, "p2": 0}},
		{"by slots", map[string]Load{"both": {Running: 30, Waiting: 2}}, map[string]float64{"p1": 8, "p2": 24}},
		{"away from the other template's only pool", map[string]Load{"both": {Running: 48}, "one": {Running: 16}}, map[string]float64{"p1": 16, "p2": 48}},
		{"beyond the slots", map[string]Load{"both": {Waiting: 128}}, map[string]float64{"p1": 32, "p2": 96}},
		{"up to the limit", map[string]Load{"one": {Running: 150, Waiting: 900}}, map[string]float64{"p1": 200, "p2": 0}},
		{"of an unknown team", map[string]Load{"other": {Running: 5}}, map[string]float64{"p1": 0, "p2": 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, PoolDemand(s, PoolSizes(s), c.loads))
		})
	}
}
