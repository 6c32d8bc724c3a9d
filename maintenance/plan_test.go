package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

func weightsOf(t testing.TB, user string) statemachine.Weights {
	t.Helper()
	catalog, err := examples.Catalog(user)
	require.NoError(t, err)
	return catalog.Template.Weights
}

func (m *model) requireMaintained() {
	m.t.Helper()
	require.Equal(m.t, statemachine.WaveDone, m.wave().State)
	for _, vm := range m.state.VMs.All() {
		require.Equal(m.t, "w", vm.MaintainedBy, vm.ID)
		require.Empty(m.t, vm.Home, vm.ID)
	}
	require.Zero(m.t, m.cut)
	require.Zero(m.t, m.breaches)
}

func (m *model) active() []*statemachine.VM {
	var out []*statemachine.VM
	for id := range m.state.UnderMaintenance.All() {
		vm, _ := m.state.VMs.Get(id)
		out = append(out, vm)
	}
	return out
}

// until steps until the condition holds.
func (m *model) until(what string, condition func(Plan) bool) {
	m.t.Helper()
	for range int(modelLimit / modelTick) {
		if condition(m.step("p1")) {
			return
		}
	}
	m.t.Fatalf("%s did not come", what)
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
		m := newModel(t, userFleet, weightsOf(t, user), Decide, 1)
		m.startWave(100)
		m.runWave()
		m.requireMaintained()
		moves[user] = m.moves
	}
	require.Zero(t, moves["apitt"])
	require.Equal(t, userFleet.pools+minLentPools, moves["pakhtun"])
}

func TestDecide_CanaryThenDoubling(t *testing.T) {
	m := newModel(t, userFleet, weightsOf(t, "apitt"), Decide, 1)
	m.startWave(100)
	require.True(t, hasReason(ReasonCanary)(m.step("p1")))
	widest := make(map[int]int)
	m.until("the end", func(Plan) bool {
		done := 0
		for _, vm := range m.state.VMs.All() {
			if vm.MaintainedBy == "w" {
				done++
			}
		}
		widest[done] = max(widest[done], len(m.active()))
		return m.wave().State.Finished()
	})
	require.Equal(t, 1, widest[0])
	require.Equal(t, 2, widest[1])
	require.LessOrEqual(t, widest[3], 4)
}

func TestDecide_StopsAtABreachAndResumes(t *testing.T) {
	m := newModel(t, userFleet, weightsOf(t, "apitt"), Decide, 1)
	m.startWave(100)
	m.until("the canary", func(Plan) bool { return m.state.UnderMaintenance.Len() == 2 })
	canary := "vm-00040"
	m.ok("watch", &statemachine.VMFailed{VM: canary, Condition: statemachine.ConditionFailed})
	m.until("the pause", func(Plan) bool { return m.wave().State == statemachine.WavePaused })
	m.until("the steps under way to end", func(Plan) bool { return m.state.UnderMaintenance.Len() == 0 })
	require.True(t, hasReason(ReasonPaused)(m.step("p1")))

	accepted := ProgressOf(m.state, m.wave()).Failed
	m.ok("op", &statemachine.WaveSet{Wave: "w", Expected: m.wave().Version, State: statemachine.WaveRunning, AcceptFailures: accepted})
	m.until("the end", func(Plan) bool { return m.wave().State.Finished() })
	require.Equal(t, statemachine.WaveDone, m.wave().State)
}

// TestDecide_LostRack checks that a rack lost in the middle neither pauses the
// wave nor lets it break a budget, and that the wave ends once the VMs are
// back or replaced.
func TestDecide_LostRack(t *testing.T) {
	m := newModel(t, userFleet, weightsOf(t, "apitt"), Decide, 1)
	m.startWave(100)
	m.until("the middle", func(Plan) bool { return m.state.UnderMaintenance.Len() >= 4 })
	rack := []string{"vm-00000", "vm-00001", "vm-00002", "vm-00003"}
	for _, id := range rack {
		m.ok("watch", &statemachine.VMFailed{VM: id, Condition: statemachine.ConditionFailed})
	}
	m.until("the wait for the rack", func(p Plan) bool {
		return m.state.UnderMaintenance.Len() == 0 || len(m.active()) <= 2 && hasReason(ReasonVMFailed)(p)
	})
	require.Equal(t, statemachine.WaveRunning, m.wave().State)
	for i, id := range rack {
		vm, _ := m.state.VMs.Get(id)
		if i == 0 {
			m.ok("op", &statemachine.VMRemove{VM: id, Expected: vm.Version})
			m.add("vm-new", vm.Pool, vm.Rack, vm.AvailabilityZone)
			continue
		}
		m.ok("watch", &statemachine.VMRecovered{VM: id, Expected: vm.Version})
	}
	m.until("the end", func(Plan) bool { return m.wave().State.Finished() })
	fresh, _ := m.state.VMs.Get("vm-new")
	require.Empty(t, fresh.MaintainedBy)
	require.Zero(t, m.cut)
	require.Zero(t, m.breaches)
}

// TestDecide_TakeoverInTheMiddle changes the planner at every step under way,
// with nothing but the records.
func TestDecide_TakeoverInTheMiddle(t *testing.T) {
	for _, user := range examples.Users {
		m := newModel(t, userFleet, weightsOf(t, user), Decide, 1)
		m.startWave(100)
		planner := "p1"
		for i := 0; !m.wave().State.Finished() && i < int(modelLimit/modelTick); i++ {
			if i%20 == 19 {
				planner = map[string]string{"p1": "p2", "p2": "p1"}[planner]
				lease, _ := m.state.Leases.Get(statemachine.MaintenanceLease)
				m.ok(planner, &statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease, Expected: lease.Epoch})
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
	drained := time.UnixMilli(0)
	quiet := drained.Add(time.Second + 250*time.Millisecond)
	long := []RunningTask{{ID: "long", Checkpointable: true, StartedAt: drained}, {ID: "order", StartedAt: drained}}
	tests := []struct {
		name string
		seen VMObservation
		at   time.Duration
		want ActionKind
	}{
		{"the VM has not confirmed the drain", VMObservation{TasksQueriedAt: quiet}, time.Second, ""},
		{"slot leases from before may still start a task", VMObservation{CordonedAt: drained, TasksQueriedAt: quiet.Add(-1)}, time.Second, ""},
		{"a task runs", VMObservation{CordonedAt: drained, TasksQueriedAt: quiet, Running: long}, time.Second, ""},
		{"a task runs past the patience", VMObservation{CordonedAt: drained, TasksQueriedAt: quiet, Running: long}, 31 * time.Minute, ActionCheckpoint},
		{"a task runs past the deadline", VMObservation{CordonedAt: drained, TasksQueriedAt: quiet, Running: long}, time.Hour, ActionAbandonDrain},
		{"the VM does not answer by the deadline", VMObservation{CordonedAt: drained}, time.Hour, ActionAbandonDrain},
		{"empty", VMObservation{CordonedAt: drained, TasksQueriedAt: quiet}, time.Second, ActionReboot},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newModel(t, userFleet, weightsOf(t, "apitt"), Decide, 1)
			m.startWave(1)
			m.ok("p1", &statemachine.VMDrain{VM: "vm-00000", Pool: "pool-01", Expected: 1, Wave: "w", Epoch: 1})
			now := drained.Add(tt.at)
			plan := Decide(m.state, Observation{ListedAt: now, VMs: map[string]VMObservation{"vm-00000": tt.seen}}, m.params, now)
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

func TestDecide_Waits(t *testing.T) {
	tests := []struct {
		name   string
		change func(m *model)
		want   Reason
	}{
		{"stale VM list", func(m *model) { m.params.MaxVMListAge = -1 }, ReasonListStale},
		{"pool needed for its load", func(m *model) { m.need = map[string]int{"pool-01": 10} }, ReasonCapacity},
		{"pool without budget", func(m *model) {
			m.ok("op", &statemachine.PoolSet{Pool: statemachine.Pool{Name: "pool-01"}, Expected: 1})
		}, ReasonPoolBudget},
		{"zone without budget", func(m *model) {
			m.ok("op", &statemachine.ZoneSet{Zone: statemachine.Zone{Name: "z-00"}})
		}, ReasonZoneBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newModel(t, userFleet, weightsOf(t, "apitt"), Decide, 1)
			m.startWave(100)
			tt.change(m)
			m.until("the reason", hasReason(tt.want))
		})
	}
}

func TestDecide_AbortReturnsWhatDrains(t *testing.T) {
	m := newModel(t, userFleet, weightsOf(t, "pakhtun"), Decide, 1)
	m.startWave(100)
	m.until("a loan", func(Plan) bool { return m.state.VMsOnLoan.Len() == 2 && len(m.active()) > 1 })
	m.ok("op", &statemachine.WaveSet{Wave: "w", Expected: 1, State: statemachine.WaveAborted})
	m.until("the fleet to be whole", func(Plan) bool { return len(m.active()) == 0 && m.state.VMsOnLoan.Len() == 0 })
	require.Zero(t, m.cut)
}
