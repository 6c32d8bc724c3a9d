package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// addZoneVM adds a worker in the zone on a VM of its own.
func (f *testFleet) addZoneVM(name, pool, zone string, cores int64) {
	f.addVM(name, pool, cores)
	w := f.workers["w-"+name]
	w.AvailabilityZone = zone
	f.workers["w-"+name] = w
	f.s.SetWorkers(f.workers, f.now)
}

// newZoneFleet has two workers of the pool in each of the zones.
func newZoneFleet(t *testing.T, zones ...string) *testFleet {
	f := newTestFleet(t)
	for _, zone := range zones {
		f.addZoneVM(zone+"a", testPool, zone, 4)
		f.addZoneVM(zone+"b", testPool, zone, 4)
	}
	f.advanceAndPlan(200 * time.Millisecond)
	return f
}

// runsIn counts the job's runs in the zone.
func (f *testFleet) runsIn(zone, job string) int {
	n := 0
	for id, runs := range f.running(job) {
		if f.workers[id].AvailabilityZone == zone {
			n += runs
		}
	}
	return n
}

// kinds returns the kinds of the events since the last call, by zone.
func (f *testFleet) zoneEvents(zone string) []string {
	var out []string
	for _, e := range f.readEvents() {
		if e.SubjectKind() == "zone" && e.ID == zone {
			out = append(out, e.Kind)
		}
	}
	return out
}

func shortStep(count int) fleet.Step { return fleet.Step{Count: count, EstimateMillis: 300} }

func TestEvacuation_StartsNothingInTheZone(t *testing.T) {
	f := newZoneFleet(t, "z0", "z1")
	f.s.Submit(f.newJob("before", shortStep(16)), f.now)
	f.advance(100 * time.Millisecond)
	require.Equal(t, 8, f.runsIn("z0", "before"))
	f.s.SetEvacuations([]string{"z0"}, f.now)
	require.True(t, f.s.canVacate(f.s.vms["z1a"], f.now))
	require.False(t, f.s.canVacate(f.s.vms["z0a"], f.now), "a VM is emptied for a pool where it would be of no use")
	f.s.Submit(f.newJob("during", shortStep(16)), f.now)
	for range 20 {
		f.advance(50 * time.Millisecond)
		require.Zero(t, f.runsIn("z0", "during"))
	}
	for index := range 16 {
		require.Equal(t, 1, f.attempts[taskOf("before", index)], "a short task that runs in the zone must finish there")
	}
	f.advanceAndPlan(200 * time.Millisecond)
	require.Equal(t, []string{"zone.evacuating", "zone.evacuated"}, f.zoneEvents("z0"))
	f.s.SetEvacuations(nil, f.now)
	f.s.Submit(f.newJob("after", shortStep(16)), f.now)
	f.advance(100 * time.Millisecond)
	require.Equal(t, 8, f.runsIn("z0", "after"))
	require.Equal(t, []string{"zone.evacuation_ended"}, f.zoneEvents("z0"))
}

// TestEvacuation_AssignmentNotStoredYet evacuates while assignments wait for the store. The
// members of a gang stay together.
func TestEvacuation_AssignmentNotStoredYet(t *testing.T) {
	for _, gang := range []bool{false, true} {
		f := newZoneFleet(t, "z0", "z1")
		step := shortStep(12)
		step.Gang = gang
		f.s.Submit(f.newJob("job", step), f.now)
		f.s.Place(f.now)
		batch := f.s.TakeBatch()
		require.Len(t, batch.pendingStarts, 12)
		elsewhere := 0
		for _, pending := range batch.pendingStarts {
			if pending.task.worker.info.AvailabilityZone == "z1" {
				elsewhere++
			}
		}
		f.s.SetEvacuations([]string{"z0"}, f.now)
		starts := f.s.HandleBatchPersisted(batch.Number, f.now)
		for _, start := range starts {
			require.Equal(t, "z1", f.workers[start.Endpoint.WorkerID].AvailabilityZone)
		}
		if gang {
			require.Empty(t, starts, "members of a gang start without the others")
		} else {
			require.Len(t, starts, elsewhere)
		}
	}
}

// TestEvacuation_StartIsNotRepeated evacuates while a start has no response.
func TestEvacuation_StartIsNotRepeated(t *testing.T) {
	f := newZoneFleet(t, "z0")
	f.s.Submit(f.newJob("job", shortStep(1)), f.now)
	f.s.Place(f.now)
	starts := f.s.HandleBatchPersisted(f.s.TakeBatch().Number, f.now)
	require.Len(t, starts, 1)
	require.False(t, f.s.StartSettled(&starts[0].Request))
	f.s.SetEvacuations([]string{"z0"}, f.now)
	require.True(t, f.s.StartSettled(&starts[0].Request))
}

// TestEvacuation_MovesLongRunningWithinBudget moves as many at once as may be unavailable,
// and none that finds no room or has no budget.
func TestEvacuation_MovesLongRunningWithinBudget(t *testing.T) {
	f := newZoneFleet(t, "z0", "z1")
	f.startup = 300 * time.Millisecond
	lasting := func(count int) fleet.Step {
		return fleet.Step{Count: count, LongRunning: true, EstimateMillis: 500}
	}
	f.s.SetEvacuations([]string{"z0"}, f.now)
	f.s.Submit(f.newJob("filler", lasting(5)), f.now)
	f.advance(200 * time.Millisecond)
	f.s.SetEvacuations([]string{"z1"}, f.now)
	f.s.Submit(f.newJob("fixed", lasting(2)), f.now)
	f.s.Submit(f.newJob("serve", longRunningStep(6, 2)), f.now)
	f.advance(3 * time.Second)
	require.Equal(t, 6, f.runsIn("z0", "serve"))
	f.s.SetEvacuations([]string{"z0"}, f.now)
	for range 60 {
		f.advanceAndPlan(100 * time.Millisecond)
		require.GreaterOrEqual(t, total(f.running("serve")), 4, "more tasks are unavailable than the budget allows")
		require.Equal(t, 2, f.runsIn("z0", "fixed"), "a task without a budget is moved")
	}
	require.Equal(t, 3, f.runsIn("z1", "serve"), "there is room for three")
	require.Equal(t, 3, f.runsIn("z0", "serve"), "a task was stopped that finds no room")
}

// TestEvacuation_PoolsGetVMsElsewhere gives a pool that loses VMs spare ones of other zones.
func TestEvacuation_PoolsGetVMsElsewhere(t *testing.T) {
	f := newZoneFleet(t, "z0", "z1")
	for _, name := range []string{"s1", "s2"} {
		f.addZoneVM("z0"+name, sparePool, "z0", 4)
		f.addZoneVM("z1"+name, sparePool, "z1", 4)
	}
	f.advanceAndPlan(200 * time.Millisecond)
	f.s.SetEvacuations([]string{"z0"}, f.now)
	f.s.Submit(f.newJob("job", fleet.Step{Count: 14, EstimateMillis: 600}), f.now)
	moved := map[string]bool{}
	for _, o := range f.advanceAndPlan(300 * time.Millisecond) {
		require.Equal(t, VMOperation{Kind: VMMove, VM: o.VM, Pool: testPool}, o)
		moved[o.VM] = true
	}
	require.Equal(t, map[string]bool{"z1s1": true, "z1s2": true}, moved)
}

// TestEvacuation_EmptyPoolKeepsItsMinimum replaces the VMs of a pool without demand.
func TestEvacuation_EmptyPoolKeepsItsMinimum(t *testing.T) {
	f := newZoneFleet(t, "z0")
	f.addZoneVM("z1s", sparePool, "z1", 4)
	f.advanceAndPlan(200 * time.Millisecond)
	f.s.SetEvacuations([]string{"z0"}, f.now)
	require.Equal(t, []VMOperation{{Kind: VMMove, VM: "z1s", Pool: testPool}}, f.advanceAndPlan(300*time.Millisecond))
}

// TestEvacuation_VacatedVMIsReplaced evacuates the zone of a VM that is emptied for another
// pool, which gets one of another zone instead.
func TestEvacuation_VacatedVMIsReplaced(t *testing.T) {
	f := newZoneFleet(t, "z0", "z1", "z2")
	v := f.s.vms["z0a"]
	f.s.drain(v, VMMove, f.now)
	v.vacateFor = otherPool
	f.s.SetEvacuations([]string{"z0"}, f.now)
	f.addZoneVM("o", otherPool, "z1", 1)
	other := f.newJob("other", fleet.Step{Count: 4, EstimateMillis: 500})
	other.Queue = "books"
	f.s.Submit(other, f.now)
	operations := f.advanceAndPlan(500 * time.Millisecond)
	require.NotEmpty(t, operations)
	for _, o := range operations {
		require.NotEqual(t, "z0", f.workers["w-"+o.VM].AvailabilityZone, "a VM in the zone is moved in vain")
	}
	require.Equal(t, VMNoOperation, v.drainFor)
}

// TestEvacuation_RackLocalStepChoosesAnew lets the rest of a rack-local step run on another
// rack once nothing of it runs in the zone.
func TestEvacuation_RackLocalStepChoosesAnew(t *testing.T) {
	f := newZoneFleet(t, "z0", "z1")
	step := shortStep(8)
	step.RackLocal = true
	f.s.Submit(f.newJob("near", step), f.now)
	f.advance(100 * time.Millisecond)
	st := f.s.findTask(taskOf("near", 0)).step
	rack, zone := st.rack, "z0"
	require.Equal(t, 4, total(f.running("near")))
	if f.runsIn("z1", "near") > 0 {
		zone = "z1"
	}
	f.s.SetEvacuations([]string{zone}, f.now)
	f.advance(150 * time.Millisecond)
	require.Equal(t, rack, st.rack, "the step leaves its rack while tasks of it run there")
	f.advance(time.Second)
	require.NotEqual(t, rack, st.rack)
	require.Equal(t, 8, st.done)
}

// TestEvacuation_OfAllZones keeps all work until a zone is back.
func TestEvacuation_OfAllZones(t *testing.T) {
	f := newZoneFleet(t, "z0", "z1")
	f.s.Submit(f.newJob("serve", longRunningStep(4, 2)), f.now)
	f.advance(3 * time.Second)
	f.readEvents()
	f.s.SetEvacuations([]string{"z0", "z1"}, f.now)
	require.Contains(t, f.zoneEvents("z0 z1"), "zone.none_left")
	f.s.Submit(f.newJob("job", shortStep(4)), f.now)
	require.Empty(t, f.advanceAndPlan(3*time.Second))
	require.Zero(t, total(f.running("job")))
	require.Equal(t, 4, total(f.running("serve")), "a task was stopped that finds no room")
	f.s.SetEvacuations([]string{"z1"}, f.now)
	f.advance(time.Second)
	for index := range 4 {
		require.Equal(t, 1, f.attempts[taskOf("job", index)])
	}
}

// TestEvacuation_UnknownZone changes nothing until a worker appears there.
func TestEvacuation_UnknownZone(t *testing.T) {
	f := newZoneFleet(t, "z0")
	f.readEvents()
	f.s.SetEvacuations([]string{"elsewhere"}, f.now)
	require.Equal(t, []string{"zone.evacuation_unknown"}, f.zoneEvents("elsewhere"))
	f.s.Submit(f.newJob("job", shortStep(8)), f.now)
	f.advanceAndPlan(100 * time.Millisecond)
	require.Equal(t, 8, total(f.running("job")))
	f.addZoneVM("late", testPool, "elsewhere", 4)
	f.advanceAndPlan(100 * time.Millisecond)
	require.Equal(t, "zone.evacuating", f.zoneEvents("elsewhere")[0])
	require.False(t, f.s.workers["w-late"].schedulable(f.now))
}

// TestEvacuation_Takeover keeps the runs in the zone under a leader that takes over, which
// starts nothing more there.
func TestEvacuation_Takeover(t *testing.T) {
	f := newZoneFleet(t, "z0", "z1")
	sub := f.newJob("job", fleet.Step{Count: 20, EstimateMillis: 2000})
	f.s.Submit(sub, f.now)
	f.advance(100 * time.Millisecond)
	before := f.running("job")
	f.takeover(f.recorded, sub)
	f.s.SetEvacuations([]string{"z0"}, f.now)
	f.advance(1500 * time.Millisecond)
	require.Equal(t, before, f.running("job"), "the runs of the leader before are not kept")
	f.advance(700 * time.Millisecond)
	require.Zero(t, f.runsIn("z0", "job"))
	f.advance(2 * time.Second)
	for index := range 20 {
		require.Equal(t, 1, f.attempts[taskOf("job", index)])
	}
}

// TestEvacuation_WaveMaintainsTheZone maintains VMs in the zone, which stay out of use.
func TestEvacuation_WaveMaintainsTheZone(t *testing.T) {
	f := newZoneFleet(t, "z0", "z1")
	withoutSpare := testManifest()
	delete(withoutSpare.Pools, sparePool)
	f.s.SetManifest(withoutSpare, f.now)
	f.advanceAndPlan(3 * time.Second)
	f.s.SetEvacuations([]string{"z0"}, f.now)
	f.s.SetWave(fleet.Wave{Number: 1, VMs: []string{"z0a", "z0b"}, MaxDuration: 20 * time.Second, MaxUnavailable: 1}, f.now, nil)
	for _, o := range f.advanceAndPlan(time.Second) {
		require.Equal(t, VMMaintain, o.Kind)
		f.maintain(o)
	}
	f.advanceAndPlan(3 * time.Second)
	f.s.Submit(f.newJob("job", shortStep(16)), f.now)
	f.advance(200 * time.Millisecond)
	require.Equal(t, 8, f.runsIn("z1", "job"))
	require.Zero(t, f.runsIn("z0", "job"))
}
