package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// newOneWorkerFleet returns a fleet of one worker of 16 cores.
func newOneWorkerFleet(t *testing.T, policies Policies) *testFleet {
	f := newTestFleet(t)
	f.s.cfg.Policies, f.s.cfg.MaxStopTime = policies, 400*time.Millisecond
	f.addWorker("w-1", testPool, 16)
	f.advance(500 * time.Millisecond)
	return f
}

func oneTask(cores, millis int64) fleet.Step {
	return fleet.Step{EstimateMillis: millis, Need: fleet.Resources{MilliCPU: cores * 1000, MemMB: 1}}
}

// TestPreemption_TeamBoundInOneRound lets one wide step ask for more than a team may lose
// in one round.
func TestPreemption_TeamBoundInOneRound(t *testing.T) {
	f := newCrowdedFleet(t, true, fleet.Step{Checkpointing: true})
	ran := f.totalRuns()
	f.arrive("aaaaaaaaaaaaaaaa", 28, 1)
	f.advance(50 * time.Millisecond)
	require.LessOrEqual(t, f.events["task.preempted"], ran/2)
}

// TestNomination_BesideLookahead nominates a task on a worker while another step finds no
// room beside the nomination: neither a search that failed nor a reservation may keep the
// nominated task from the room that is freed for it.
func TestNomination_BesideLookahead(t *testing.T) {
	for name, other := range map[string]fleet.Step{"search that failed": oneTask(4, 500), "reservation": oneTask(10, 1500)} {
		t.Run(name, func(t *testing.T) {
			f := newOneWorkerFleet(t, Policies{Lookahead: true})
			need := int64(16)
			if name == "reservation" {
				need = 8
				f.s.Submit(f.newJob("s", oneTask(1, 60000)), f.now)
				f.advance(200 * time.Millisecond)
			}
			f.s.Submit(f.newJob("b", oneTask(need, 1000)), f.now)
			nominated := f.s.findTask(fleet.TaskID{Job: "b"})
			f.s.nominate(nominated, f.s.workers["w-1"], f.now)
			f.s.Submit(f.newJob("a", other), f.now)
			f.s.Place(f.now)
			require.NotEqual(t, waiting, nominated.phase)
		})
	}
}

// TestReservation_NotOnAnAvoidedWorker fails a task's run on the only worker: the worker is
// not kept for the task meanwhile.
func TestReservation_NotOnAnAvoidedWorker(t *testing.T) {
	f := newOneWorkerFleet(t, Policies{Lookahead: true})
	f.s.Submit(f.newJob("s", oneTask(10, 300)), f.now)
	f.s.Submit(f.newJob("z", oneTask(1, 60000)), f.now)
	f.advance(100 * time.Millisecond)
	f.s.Submit(f.newJob("a", oneTask(12, 3000)), f.now)
	a := f.s.findTask(fleet.TaskID{Job: "a"})
	a.avoid, a.avoidUntil = "w-1", f.now.Add(avoidAfterFailure)
	f.s.Place(f.now)
	require.Empty(t, f.s.reservations)
}

// TestStepDuration_ShortFirstRun runs the first of four tasks in a tenth of the estimate:
// the job, of which the others take as long as estimated, is not late by that.
func TestStepDuration_ShortFirstRun(t *testing.T) {
	f := newOneWorkerFleet(t, Policies{Lookahead: true})
	f.runTime = func(id fleet.TaskID) time.Duration {
		if id.Index == 0 {
			return 400 * time.Millisecond
		}
		return 4 * time.Second
	}
	f.s.Submit(f.newJob("j", fleet.Step{Count: 4, EstimateMillis: 4000, Need: fleet.Resources{MilliCPU: 10000}}), f.now)
	f.advance(300 * time.Millisecond)
	f.s.workers["w-1"].avoidUntil = f.now.Add(2 * time.Second) // No room meanwhile.
	f.advance(1900 * time.Millisecond)
	require.LessOrEqual(t, rankOf(f.s.findTask(fleet.TaskID{Job: "j"}).step, 0, f.now).class, classTight)
}

// TestStepDuration_LateConfirmation loses the response to a start: the first status shows
// the run at half of its time.
func TestStepDuration_LateConfirmation(t *testing.T) {
	f := newOneWorkerFleet(t, Policies{Lookahead: true})
	f.s.Submit(f.newJob("j", fleet.Step{EstimateMillis: 5000, Need: fleet.Resources{MilliCPU: 1000}}), f.now)
	x := f.s.findTask(fleet.TaskID{Job: "j"})
	f.s.Place(f.now)
	x.phase = starting // Stored and sent.
	status := func(after time.Duration, percent int) {
		f.now = f.now.Add(after)
		f.s.HandleStatus("w-1", &fleet.WorkerStatus{ClockMillis: f.now.UnixMilli(), StartedAtMillis: f.workers["w-1"].StartedAtMillis,
			Active: []fleet.ActiveRun{{Task: x.id, Attempt: x.attempt, Percent: percent}}}, f.now, f.now)
	}
	status(2500*time.Millisecond, 50)
	status(500*time.Millisecond, 60)
	seen, known := x.step.seenDuration()
	require.True(t, known)
	require.InDelta(t, 5*time.Second, seen, float64(100*time.Millisecond))
}

// TestStepDuration_OneTaskCountsOnce runs one task of eight twice.
func TestStepDuration_OneTaskCountsOnce(t *testing.T) {
	f := newOneWorkerFleet(t, Policies{Lookahead: true})
	f.s.Submit(f.newJob("j", fleet.Step{Count: 8, EstimateMillis: 4000, Need: fleet.Resources{MilliCPU: 1000}}), f.now)
	x := f.s.findTask(fleet.TaskID{Job: "j"})
	for range 2 {
		x.confirmedAt = f.now
		f.s.observeRun(x, 5*time.Second)
		x.resetRun()
	}
	require.Equal(t, 1, x.step.seen.count)
}

// TestVacating_ZoneEvacuated evacuates the zone of VMs that are being vacated: they cannot
// be moved, and must not count for the pool that waits for them.
func TestVacating_ZoneEvacuated(t *testing.T) {
	f := newTestFleet(t)
	f.s.cfg.Policies.Consolidation = true
	for _, name := range []string{"a0", "a1", "a2", "a3"} {
		f.addVM(name, testPool, 4)
	}
	f.addVM("o0", otherPool, 4)
	for id, w := range f.workers {
		w.AvailabilityZone = "z2"
		if id == "w-a0" {
			w.AvailabilityZone = "z1"
		}
		f.workers[id] = w
	}
	f.s.SetWorkers(f.workers, f.now)
	f.advance(3 * time.Second)
	f.s.Submit(f.newJob("j", fleet.Step{Count: 16, EstimateMillis: 60000}), f.now)
	f.advance(time.Second)
	f.listVMs()
	f.s.PlanVMs(f.now)
	f.s.startVacating(f.s.vms["a0"], otherPool, f.now)
	f.s.SetEvacuations([]string{"z1"}, f.now)
	f.listVMs()
	f.s.PlanVMs(f.now)
	require.Empty(t, f.s.vms["a0"].vacateFor)
}

// TestVMOrders_BatchRefused loses the batch of an order for good: the VM is free again.
func TestVMOrders_BatchRefused(t *testing.T) {
	f := newOrderingFleet(t, 6)
	f.listVMs()
	for id := range f.workers {
		f.poll(id)
	}
	f.s.PlanVMs(f.now)
	f.s.TakeBatch() // It is never stored.
	ordered := 0
	for _, v := range f.s.vms {
		if v.operation != nil {
			ordered++
		}
	}
	require.NotZero(t, ordered)
	_, after := f.planAndStore(5 * time.Millisecond)
	require.Empty(t, after)
	f.now = f.now.Add(2*MaxVMOrderWait + time.Millisecond)
	_, after = f.planAndStore(5 * time.Millisecond)
	require.NotEmpty(t, after)
}

// TestVMOrders_OldWorkerJustOrdered reads a stored order that may not have been executed
// yet: the age of the VM's worker proves nothing beside it.
func TestVMOrders_OldWorkerJustOrdered(t *testing.T) {
	f := newTestFleet(t)
	f.s.cfg.PreviousLeaderOperationWindow = testOrderWindow
	f.addVM("a0", testPool, 4)
	f.listVMs()
	f.s.RestoreVMOrders(map[string]time.Time{"a0": f.now})
	require.False(t, f.s.acceptsOperation(f.s.vms["a0"], f.now.Add(100*time.Millisecond)))
}

// TestVMOrders_AllEntriesRestarted reads all orders at once, as entries do that have all
// been killed: nothing tells their age but the age of the workers.
func TestVMOrders_AllEntriesRestarted(t *testing.T) {
	f := newTestFleet(t)
	f.s.cfg.PreviousLeaderOperationWindow = testOrderWindow
	f.addVM("old", testPool, 4)
	f.addVM("young", testPool, 4)
	f.s.workers["w-young"].info.StartedAtMillis = f.now.Add(-time.Second).UnixMilli()
	f.listVMs()
	f.s.RestoreVMOrders(map[string]time.Time{"old": {}, "young": {}})
	require.True(t, f.s.acceptsOperation(f.s.vms["old"], f.now))
	require.False(t, f.s.acceptsOperation(f.s.vms["young"], f.now))
}

// TestArrivals_ClocksApart submits jobs of an entry whose clock is seconds behind.
func TestArrivals_ClocksApart(t *testing.T) {
	f := newTestFleet(t)
	f.addVM("a", testPool, 4)
	f.advance(2 * arrivalRetention)
	for i := range 20 {
		sub := f.newJob(jobID(i), fleet.Step{Count: 4, EstimateMillis: 1000})
		sub.ArrivedMillis = f.now.Add(-2 * time.Second).UnixMilli()
		f.s.Submit(sub, f.now)
	}
	require.NotZero(t, f.s.arrivals.offeredLoad(f.now)[testPool])
}
