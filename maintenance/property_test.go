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

// naive plans like Decide but trusts that a drained VM is empty, and drains
// whatever the wave has yet to maintain.
func naive(s *statemachine.State, o Observation, p Params, now time.Time) Plan {
	for id, seen := range o.VMs {
		seen.Running, seen.CordonedAt = nil, time.UnixMilli(0)
		o.VMs[id] = seen
	}
	plan := Decide(s, o, p, now)
	for _, vm := range s.VMs.All() {
		if vm.Available() && vm.MaintainedBy != "w" {
			plan.Actions = append(plan.Actions, Action{Kind: ActionDrain, Wave: "w", VM: vm})
		}
	}
	return plan
}

// disturb lets VMs fail and recover, the planner change and the log be down.
func (m *model) disturb(planner *string, random *rand.Rand) (logDown bool) {
	vm, _ := m.state.VMs.Get(fmt.Sprintf("vm-%05d", random.IntN(m.state.VMs.Len())))
	switch random.IntN(60) {
	case 0:
		m.do("watch", &statemachine.VMFailed{VM: vm.ID, Condition: statemachine.ConditionFailed})
	case 1, 2, 3, 4:
		for _, other := range m.state.VMs.All() {
			m.do("watch", &statemachine.VMRecovered{VM: other.ID, Expected: other.Version})
		}
	case 5:
		*planner = []string{"p1", "p2"}[random.IntN(2)]
		lease, _ := m.state.Leases.Get(statemachine.MaintenanceLease)
		m.do(*planner, &statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease, Expected: lease.Epoch})
	case 6:
		m.do("op", &statemachine.WaveSet{Wave: "w", Expected: m.wave().Version, State: statemachine.WaveRunning, AcceptFailures: 100})
	case 7:
		m.do("op", &statemachine.VMDrain{VM: vm.ID, Pool: vm.Pool, Expected: vm.Version, MoveTo: "pool-01"})
	}
	return random.IntN(10) == 0
}

// disturbed runs a wave under disturbances and returns how many records were
// void, so that a test sees that there was something to refuse.
func disturbed(t testing.TB, user string, decide decider, seed uint64) *model {
	m := newModel(t, userFleet, weightsOf(t, user), decide, seed)
	m.startWave(100)
	planner := "p1"
	random := rand.New(rand.NewPCG(seed, 2))
	for range propertyTicks {
		if m.disturb(&planner, random) {
			m.now = m.now.Add(modelTick)
			continue
		}
		m.step(planner)
	}
	return m
}

// TestDecide_HoldsUnderDisturbances checks over random failures, takeovers,
// outages of the log and operators' moves that no task is cut and no step
// breaks a budget, and that a planner that trusts its drains cuts tasks.
func TestDecide_HoldsUnderDisturbances(t *testing.T) {
	naiveCut, naiveVoid := 0, 0
	for seed := range uint64(propertyRuns) {
		for _, user := range examples.Users {
			m := disturbed(t, user, Decide, seed)
			require.Zero(t, m.cut, "seed %d", seed)
			require.Zero(t, m.breaches, "seed %d", seed)
		}
		m := disturbed(t, "apitt", naive, seed)
		require.Zero(t, m.breaches, "the reducer holds the budgets for a naive planner too")
		if m.cut > 0 {
			naiveCut++
		}
		if m.voids > 0 {
			naiveVoid++
		}
	}
	require.Equal(t, propertyRuns, naiveCut)
	require.Equal(t, propertyRuns, naiveVoid)
}
