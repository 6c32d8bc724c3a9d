package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

func userWeights(t testing.TB, user string) statemachine.Weights {
	t.Helper()
	catalog, err := examples.Catalog(user)
	require.NoError(t, err)
	return catalog.Template.Weights
}

func (m *fleetModel) requireMaintained() {
	m.t.Helper()
	require.Equal(m.t, statemachine.WaveDone, m.wave().State)
	for _, vm := range m.state.VMs.All() {
		require.Equal(m.t, "w", vm.MaintainedBy, vm.ID)
		require.Empty(m.t, vm.Home, vm.ID)
	}
	require.Zero(m.t, m.interruptedTasks)
	require.Zero(m.t, m.budgetViolations)
}

func (m *fleetModel) vmsUnderMaintenance() []*statemachine.VM {
	var out []*statemachine.VM
	for id := range m.state.UnderMaintenance.All() {
		vm, _ := m.state.VMs.Get(id)
		out = append(out, vm)
	}
	return out
}

// stepUntil steps until the condition holds.
func (m *fleetModel) stepUntil(event string, condition func(Plan) bool) {
	m.t.Helper()
	for range int(modelLimit / modelTick) {
		if condition(m.step("p1")) {
			return
		}
	}
	m.t.Fatalf("timed out waiting for %s", event)
}

func hasReason(reason Reason) func(Plan) bool {
	return func(p Plan) bool {
		for _, c := range p.Conditions {
			if c.Reason == reason {
				return true
			}
		}
		return false
	}
}

func TestDecide_UsersGetDifferentPlans(t *testing.T) {
	moves := make(map[string]int)
	for _, user := range examples.Users {
		m := newFleetModel(t, userFleet, userWeights(t, user), Decide, 1)
		m.startWave(100)
		m.runWave()
		m.requireMaintained()
		moves[user] = m.moves
	}
	require.Zero(t, moves["apitt"])
	require.Equal(t, userFleet.pools+minLentPools, moves["pakhtun"])
}

func TestDecide_CanaryThenDoubling(t *testing.T) {
	m := newFleetModel(t, userFleet, userWeights(t, "apitt"), Decide, 1)
	m.startWave(100)
	require.True(t, hasReason(ReasonCanary)(m.step("p1")))
	maxActive := make(map[int]int)
	m.stepUntil("the end", func(Plan) bool {
		done := 0
		for _, vm := range m.state.VMs.All() {
			if vm.MaintainedBy == "w" {
				done++
			}
		}
		maxActive[done] = max(maxActive[done], len(m.vmsUnderMaintenance()))
		return m.wave().State.Finished()
	})
	require.Equal(t, 1, maxActive[0])
	require.Equal(t, 2, maxActive[1])
	require.LessOrEqual(t, maxActive[3], 4)
}

func TestDecide_PausesOnFailuresAndResumes(t *testing.T) {
	m := newFleetModel(t, userFleet, userWeights(t, "apitt"), Decide, 1)
	m.startWave(100)
	m.stepUntil("the canary", func(Plan) bool { return m.state.UnderMaintenance.Len() == 2 })
	canary := "vm-00040"
	m.mustApply("watch", &statemachine.VMFailed{VM: canary, Condition: statemachine.ConditionFailed})
	m.stepUntil("the pause", func(Plan) bool { return m.wave().State == statemachine.WavePaused })
	m.stepUntil("the current steps to end", func(Plan) bool { return m.state.UnderMaintenance.Len() == 0 })
	require.True(t, hasReason(ReasonPaused)(m.step("p1")))

	accepted := ProgressOf(m.state, m.wave()).Failed
	m.mustApply("op", &statemachine.WaveSet{Wave: "w", Expected: m.wave().Version, State: statemachine.WaveRunning, AcceptFailures: accepted})
	m.stepUntil("the end", func(Plan) bool { return m.wave().State.Finished() })
	require.Equal(t, statemachine.WaveDone, m.wave().State)
}

// TestDecide_LostRack checks that a rack lost in the middle of a wave neither
// pauses it nor lets it exceed a budget, and that the wave ends once the VMs
// have recovered or are replaced.
func TestDecide_LostRack(t *testing.T) {
	m := newFleetModel(t, userFleet, userWeights(t, "apitt"), Decide, 1)
	m.startWave(100)
	m.stepUntil("the middle", func(Plan) bool { return m.state.UnderMaintenance.Len() >= 4 })
	rack := []string{"vm-00000", "vm-00001", "vm-00002", "vm-00003"}
	for _, id := range rack {
		m.mustApply("watch", &statemachine.VMFailed{VM: id, Condition: statemachine.ConditionFailed})
	}
	m.stepUntil("the wait for the rack", func(p Plan) bool {
		return m.state.UnderMaintenance.Len() == 0 || len(m.vmsUnderMaintenance()) <= 2 && hasReason(ReasonVMFailed)(p)
	})
	require.Equal(t, statemachine.WaveRunning, m.wave().State)
	for i, id := range rack {
		vm, _ := m.state.VMs.Get(id)
		if i == 0 {
			m.mustApply("op", &statemachine.VMRemove{VM: id, Expected: vm.Version})
			m.addVM("vm-new", vm.Pool, vm.Rack, vm.AvailabilityZone)
			continue
		}
		m.mustApply("watch", &statemachine.VMRecovered{VM: id, Expected: vm.Version})
	}
	m.stepUntil("the end", func(Plan) bool { return m.wave().State.Finished() })
	replacement, _ := m.state.VMs.Get("vm-new")
	require.Empty(t, replacement.MaintainedBy)
	require.Zero(t, m.interruptedTasks)
	require.Zero(t, m.budgetViolations)
}

// TestDecide_TakeoverMidWave changes the planner throughout the wave. The new
// one has only the records.
func TestDecide_TakeoverMidWave(t *testing.T) {
	for _, user := range examples.Users {
		m := newFleetModel(t, userFleet, userWeights(t, user), Decide, 1)
		m.startWave(100)
		planner := "p1"
		for i := 0; !m.wave().State.Finished() && i < int(modelLimit/modelTick); i++ {
			if i%20 == 19 {
				planner = map[string]string{"p1": "p2", "p2": "p1"}[planner]
				lease, _ := m.state.Leases.Get(statemachine.MaintenanceLease)
				m.mustApply(planner, &statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease, Expected: lease.Epoch})
				for _, vm := range m.vms {
					vm.version = 0
				}
			}
			m.step(planner)
		}
		m.requireMaintained()
	}
}

func TestDecide_Drain(t *testing.T) {
	cordonedAt := time.UnixMilli(0)
	leasesExpiredAt := cordonedAt.Add(time.Second + 250*time.Millisecond)
	runningTasks := []RunningTask{{ID: "long", Checkpointable: true, StartedAt: cordonedAt}, {ID: "order", StartedAt: cordonedAt}}
	tests := []struct {
		name        string
		observation VMObservation
		at          time.Duration
		want        ActionKind
	}{
		{"the VM has not confirmed the drain", VMObservation{TasksQueriedAt: leasesExpiredAt}, time.Second, ""},
		{"slot leases from before the drain may still start a task", VMObservation{CordonedAt: cordonedAt, TasksQueriedAt: leasesExpiredAt.Add(-1)}, time.Second, ""},
		{"a task runs", VMObservation{CordonedAt: cordonedAt, TasksQueriedAt: leasesExpiredAt, Running: runningTasks}, time.Second, ""},
		{"a task runs past half of the drain timeout", VMObservation{CordonedAt: cordonedAt, TasksQueriedAt: leasesExpiredAt, Running: runningTasks}, 31 * time.Minute, ActionCheckpoint},
		{"a task runs past the drain timeout", VMObservation{CordonedAt: cordonedAt, TasksQueriedAt: leasesExpiredAt, Running: runningTasks}, time.Hour, ActionAbandonDrain},
		{"the VM does not answer by the drain timeout", VMObservation{CordonedAt: cordonedAt}, time.Hour, ActionAbandonDrain},
		{"empty", VMObservation{CordonedAt: cordonedAt, TasksQueriedAt: leasesExpiredAt}, time.Second, ActionReboot},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newFleetModel(t, userFleet, userWeights(t, "apitt"), Decide, 1)
			m.startWave(1)
			m.mustApply("p1", &statemachine.VMDrain{VM: "vm-00000", Pool: "pool-01", Expected: 1, Wave: "w", Epoch: 1})
			now := cordonedAt.Add(tt.at)
			plan := Decide(m.state, Observation{ListedAt: now, VMs: map[string]VMObservation{"vm-00000": tt.observation}}, m.params, now)
			if tt.want == "" {
				require.Empty(t, plan.Actions)
				require.True(t, hasReason(ReasonNotEmpty)(plan))
				return
			}
			require.Len(t, plan.Actions, 1)
			require.Equal(t, tt.want, plan.Actions[0].Kind)
		})
	}
}

func TestDecide_WaitConditions(t *testing.T) {
	tests := []struct {
		name   string
		change func(m *fleetModel)
		want   Reason
	}{
		{"stale VM list", func(m *fleetModel) { m.params.MaxVMListAge = -1 }, ReasonListStale},
		{"pool needed for its load", func(m *fleetModel) { m.requiredVMs = map[string]int{"pool-01": 10} }, ReasonCapacity},
		{"pool without budget", func(m *fleetModel) {
			m.mustApply("op", &statemachine.PoolSet{Pool: statemachine.Pool{Name: "pool-01"}, Expected: 1})
		}, ReasonPoolBudget},
		{"zone without budget", func(m *fleetModel) {
			m.mustApply("op", &statemachine.ZoneSet{Zone: statemachine.Zone{Name: "z-00"}})
		}, ReasonZoneBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newFleetModel(t, userFleet, userWeights(t, "apitt"), Decide, 1)
			m.startWave(100)
			tt.change(m)
			m.stepUntil("the reason", hasReason(tt.want))
		})
	}
}

func TestDecide_AbortReturnsDrainingVMs(t *testing.T) {
	m := newFleetModel(t, userFleet, userWeights(t, "pakhtun"), Decide, 1)
	m.startWave(100)
	m.stepUntil("a loan", func(Plan) bool { return m.state.VMsOnLoan.Len() == 2 && len(m.vmsUnderMaintenance()) > 1 })
	m.mustApply("op", &statemachine.WaveSet{Wave: "w", Expected: 1, State: statemachine.WaveAborted})
	m.stepUntil("all VMs to be back in service", func(Plan) bool { return len(m.vmsUnderMaintenance()) == 0 && m.state.VMsOnLoan.Len() == 0 })
	require.Zero(t, m.interruptedTasks)
}
