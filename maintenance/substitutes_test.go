package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// modelOutage is the duration of a rack outage.
const modelOutage = 30 * time.Minute

// newUserFleetModel sets up a user's example fleet with the given number of
// spare VMs.
func newUserFleetModel(t testing.TB, user string, spares int, decide decideFunc) *fleetModel {
	m := newFleetModel(t, fleetSize{perRack: 1, zones: 1}, statemachine.Weights{}, decide, 1)
	catalog, err := examples.Catalog(user)
	require.NoError(t, err)
	settings, err := examples.Standin(user)
	require.NoError(t, err)
	for _, pool := range catalog.Pools {
		m.mustApply("op", &statemachine.PoolSet{Pool: pool})
	}
	m.mustApply("op", &statemachine.TemplateSet{Template: catalog.Template})
	index := 0
	for _, pool := range settings.Pools {
		count := pool.VMs
		if configured, _ := m.state.Pools.Get(pool.Name); configured.Spare {
			count = spares
		}
		for range count {
			rack := index / settings.VMsPerRack
			zone := settings.AvailabilityZones[rack%len(settings.AvailabilityZones)]
			m.addVM(fmt.Sprintf("vm-%05d", index), pool.Name, fmt.Sprintf("rack-%02d", rack), zone)
			index++
		}
	}
	return m
}

// rackLoss is the cost of losing a rack in the middle of a wave.
type rackLoss struct {
	duration, lentVMTime time.Duration
	// belowBudgetTime is the VM time, and longestBelowBudget the time, for which
	// pools had fewer VMs in service than their own size less their budget.
	belowBudgetTime, longestBelowBudget time.Duration
	moves                               int
}

// missingVMs counts the VMs that pools lack of their own size less their budget.
func (m *fleetModel) missingVMs() int {
	sum := 0
	for _, short := range newShortages(m.state) {
		sum += max(0, short)
	}
	return sum
}

// loseRack runs a wave, fails the rack halfway and recovers it later.
func loseRack(t testing.TB, user string, spares int, rack string, decide decideFunc) rackLoss {
	m := newUserFleetModel(t, user, spares, decide)
	m.startWave(100)
	start := m.now
	m.stepUntil("the middle", func(Plan) bool { return 2*ProgressOf(m.state, m.wave()).Done >= m.state.VMs.Len() })
	for _, vm := range m.state.VMs.All() {
		if vm.Rack == rack {
			m.mustApply("watch", &statemachine.VMFailed{VM: vm.ID, Condition: statemachine.ConditionFailed})
		}
	}
	recoverAt := m.now.Add(modelOutage)
	var out rackLoss
	m.stepUntil("the end", func(Plan) bool {
		if missingVMs := m.missingVMs(); missingVMs > 0 {
			out.belowBudgetTime += time.Duration(missingVMs) * modelTick
			out.longestBelowBudget += modelTick
		}
		if !m.now.Before(recoverAt) {
			m.recoverAll()
		}
		return m.wave().State.Finished() && m.state.VMsOnLoan.Len() == 0
	})
	require.Equal(t, statemachine.WaveDone, m.wave().State)
	require.Zero(t, m.interruptedTasks)
	require.Zero(t, m.budgetViolations)
	out.duration, out.lentVMTime, out.moves = m.now.Sub(start), m.lentTime, m.moves
	return out
}

func (m *fleetModel) recoverAll() {
	for _, vm := range m.state.VMs.All() {
		if vm.Condition != statemachine.ConditionHealthy {
			m.mustApply("watch", &statemachine.VMRecovered{VM: vm.ID, Expected: vm.Version})
		}
	}
}

// worstRack returns the maximum of each cost over the loss of any rack.
func worstRack(t testing.TB, user string, spares int, decide decideFunc) (worst rackLoss) {
	racks := make(map[string]int)
	for _, vm := range newUserFleetModel(t, user, spares, decide).state.VMs.All() {
		racks[vm.Rack]++
	}
	for rack, vms := range racks {
		if vms == 1 {
			continue // The failure of a single VM pauses a wave.
		}
		loss := loseRack(t, user, spares, rack, decide)
		worst.duration = max(worst.duration, loss.duration)
		worst.lentVMTime = max(worst.lentVMTime, loss.lentVMTime)
		worst.belowBudgetTime = max(worst.belowBudgetTime, loss.belowBudgetTime)
		worst.longestBelowBudget = max(worst.longestBelowBudget, loss.longestBelowBudget)
		worst.moves = max(worst.moves, loss.moves)
	}
	return worst
}

// waveLoansOnly plans like Decide but lends no substitutes for failed VMs.
func waveLoansOnly(s *statemachine.State, o Observation, p Params, now time.Time) Plan {
	plan := Decide(s, o, p, now)
	kept := plan.Actions[:0]
	for _, a := range plan.Actions {
		if a.Kind != ActionLend {
			kept = append(kept, a)
		}
	}
	plan.Actions = kept
	return plan
}

// TestDecide_SubstitutesForLostRack checks that as many spare VMs as a rack has
// keep the budgets through the loss of any rack in the middle of a wave, and
// that pools stay below them for the whole outage without substitutes.
func TestDecide_SubstitutesForLostRack(t *testing.T) {
	for _, user := range examples.Users {
		settings, err := examples.Standin(user)
		require.NoError(t, err)
		withSubstitutes := worstRack(t, user, settings.VMsPerRack, Decide)
		require.LessOrEqual(t, withSubstitutes.longestBelowBudget, DefaultParams(0).FailureStabilization, user)
		withoutSubstitutes := loseRack(t, user, settings.VMsPerRack, "rack-03", waveLoansOnly)
		require.GreaterOrEqual(t, withoutSubstitutes.longestBelowBudget, modelOutage, user)
	}
}

// TestDecide_SubstituteReturnsHome checks without a wave that substitutes are
// lent after the stabilization period, stay while VMs fail and recover, and
// then return home.
func TestDecide_SubstituteReturnsHome(t *testing.T) {
	m := newUserFleetModel(t, "pakhtun", 4, Decide)
	m.mustApply("p1", &statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease})
	lost := []string{"vm-00000", "vm-00001", "vm-00002", "vm-00003"}
	for _, id := range lost {
		m.mustApply("watch", &statemachine.VMFailed{VM: id, Condition: statemachine.ConditionUnconfirmed})
	}
	require.True(t, NeedsSubstitutes(m.state))
	plan := Decide(m.state, m.observe(), m.params, m.now.Add(m.params.FailureStabilization/2))
	require.Empty(t, plan.Actions, "the failures are within the stabilization period")
	m.step("p1")
	require.Equal(t, 2, m.state.VMsOnLoan.Len())
	require.False(t, NeedsSubstitutes(m.state))
	m.step("p1")
	require.Equal(t, 2, m.state.VMsOnLoan.Len())

	m.recoverAll()
	for range m.params.SubstituteStabilization / modelTick / 2 {
		m.step("p1")
		require.Equal(t, 2, m.state.VMsOnLoan.Len(), "the VMs have only just recovered")
	}
	m.stepUntil("the return of the substitutes", func(Plan) bool { return m.state.VMsOnLoan.Len() == 0 })
	require.Equal(t, 4, m.moves)
}
