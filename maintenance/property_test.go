package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	propertyRuns  = 8
	propertyTicks = 1500
)

// decideUnsafely plans like Decide but assumes that a cordoned VM is empty, and
// drains whatever the wave has yet to maintain.
func decideUnsafely(s *statemachine.State, o Observation, p Params, now time.Time) Plan {
	for id, observation := range o.VMs {
		observation.Running, observation.CordonedAt = nil, time.UnixMilli(0)
		o.VMs[id] = observation
	}
	plan := Decide(s, o, p, now)
	for _, vm := range s.VMs.All() {
		if vm.Available() && vm.MaintainedBy != "w" {
			plan.Actions = append(plan.Actions, Action{Kind: ActionDrain, Wave: "w", VM: vm})
		}
	}
	return plan
}

// injectFault fails or recovers VMs, changes the planner or takes the log down.
func (m *fleetModel) injectFault(planner *string, random *rand.Rand) (logDown bool) {
	vm, _ := m.state.VMs.Get(fmt.Sprintf("vm-%05d", random.IntN(m.state.VMs.Len())))
	switch random.IntN(60) {
	case 0:
		m.apply("watch", &statemachine.VMFailed{VM: vm.ID, Condition: statemachine.ConditionFailed})
	case 1, 2, 3, 4:
		for _, other := range m.state.VMs.All() {
			m.apply("watch", &statemachine.VMRecovered{VM: other.ID, Expected: other.Version})
		}
	case 5:
		*planner = []string{"p1", "p2"}[random.IntN(2)]
		lease, _ := m.state.Leases.Get(statemachine.MaintenanceLease)
		m.apply(*planner, &statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease, Expected: lease.Epoch})
	case 6:
		m.apply("op", &statemachine.WaveSet{Wave: "w", Expected: m.wave().Version, State: statemachine.WaveRunning, AcceptFailures: 100})
	case 7:
		m.apply("op", &statemachine.VMDrain{VM: vm.ID, Pool: vm.Pool, Expected: vm.Version, MoveTo: "pool-01"})
	}
	return random.IntN(10) == 0
}

// runWithFaults runs a wave under injected faults and returns the model, whose
// count of rejected records shows that there was something to reject.
func runWithFaults(t testing.TB, user string, decide decideFunc, seed uint64) *fleetModel {
	m := newFleetModel(t, userFleet, userWeights(t, user), decide, seed)
	m.startWave(100)
	planner := "p1"
	random := rand.New(rand.NewPCG(seed, 2))
	for range propertyTicks {
		if m.injectFault(&planner, random) {
			m.now = m.now.Add(modelTick)
			continue
		}
		m.step(planner)
	}
	return m
}

// TestDecide_InvariantsHoldUnderFaults checks over random failures, takeovers,
// outages of the log and operators' moves that no task is interrupted and no
// step exceeds a budget, and that decideUnsafely interrupts tasks.
func TestDecide_InvariantsHoldUnderFaults(t *testing.T) {
	unsafeInterrupted, unsafeRejected := 0, 0
	for seed := range uint64(propertyRuns) {
		for _, user := range examples.Users {
			m := runWithFaults(t, user, Decide, seed)
			require.Zero(t, m.interruptedTasks, "seed %d", seed)
			require.Zero(t, m.budgetViolations, "seed %d", seed)
		}
		m := runWithFaults(t, "apitt", decideUnsafely, seed)
		require.Zero(t, m.budgetViolations, "the reducer enforces the budgets for the unsafe planner too")
		if m.interruptedTasks > 0 {
			unsafeInterrupted++
		}
		if m.rejected > 0 {
			unsafeRejected++
		}
	}
	require.Equal(t, propertyRuns, unsafeInterrupted)
	require.Equal(t, propertyRuns, unsafeRejected)
}
