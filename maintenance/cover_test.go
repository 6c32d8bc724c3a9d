package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// modelOutage is the time for which a lost rack is away.
const modelOutage = 30 * time.Minute

// newUserModel lays a user's fleet out as its examples do, with the given
// number of spare VMs.
func newUserModel(t testing.TB, user string, spares int, decide decider) *model {
	m := newModel(t, fleetSize{perRack: 1, zones: 1}, statemachine.Weights{}, decide, 1)
	catalog, err := examples.Catalog(user)
	require.NoError(t, err)
	settings, err := examples.Standin(user)
	require.NoError(t, err)
	for _, pool := range catalog.Pools {
		m.ok("op", &statemachine.PoolSet{Pool: pool})
	}
	m.ok("op", &statemachine.TemplateSet{Template: catalog.Template})
	index := 0
	for _, pool := range settings.Pools {
		count := pool.VMs
		if configured, _ := m.state.Pools.Get(pool.Name); configured.Spare {
			count = spares
		}
		for range count {
			rack := index / settings.VMsPerRack
			zone := settings.AvailabilityZones[rack%len(settings.AvailabilityZones)]
			m.add(fmt.Sprintf("vm-%05d", index), pool.Name, fmt.Sprintf("rack-%02d", rack), zone)
			index++
		}
	}
	return m
}

// rackLoss is what the loss of a rack in the middle of a wave has cost.
type rackLoss struct {
	took, lent time.Duration
	// below is the VM time and longest the time for which pools served with
	// fewer VMs than their own size less their budget.
	below, longest time.Duration
	moves          int
}

// missing counts the VMs that pools lack to their own size less their budget.
func (m *model) missing() int {
	sum := 0
	for _, short := range newShortages(m.state) {
		sum += max(0, short)
	}
	return sum
}

// loseRack runs a wave, loses the rack in its middle and lets it come back.
func loseRack(t testing.TB, user string, spares int, rack string, decide decider) rackLoss {
	m := newUserModel(t, user, spares, decide)
	m.startWave(100)
	start := m.now
	m.until("the middle", func(Plan) bool { return 2*ProgressOf(m.state, m.wave()).Done >= m.state.VMs.Len() })
	for _, vm := range m.state.VMs.All() {
		if vm.Rack == rack {
			m.ok("watch", &statemachine.VMFailed{VM: vm.ID, Condition: statemachine.ConditionFailed})
		}
	}
	back := m.now.Add(modelOutage)
	var out rackLoss
	m.until("the end", func(Plan) bool {
		if missing := m.missing(); missing > 0 {
			out.below += time.Duration(missing) * modelTick
			out.longest += modelTick
		}
		if !m.now.Before(back) {
			m.recoverAll()
		}
		return m.wave().State.Finished() && m.state.VMsOnLoan.Len() == 0
	})
	require.Equal(t, statemachine.WaveDone, m.wave().State)
	require.Zero(t, m.cut)
	require.Zero(t, m.breaches)
	out.took, out.lent, out.moves = m.now.Sub(start), m.lentTime, m.moves
	return out
}

func (m *model) recoverAll() {
	for _, vm := range m.state.VMs.All() {
		if vm.Condition != statemachine.ConditionHealthy {
			m.ok("watch", &statemachine.VMRecovered{VM: vm.ID, Expected: vm.Version})
		}
	}
}

// worstRack returns the costs of the loss of the rack that costs most.
func worstRack(t testing.TB, user string, spares int, decide decider) (worst rackLoss) {
	racks := make(map[string]int)
	for _, vm := range newUserModel(t, user, spares, decide).state.VMs.All() {
		racks[vm.Rack]++
	}
	for rack, vms := range racks {
		if vms == 1 {
			continue // The loss of one VM pauses a wave.
		}
		one := loseRack(t, user, spares, rack, decide)
		worst.took = max(worst.took, one.took)
		worst.lent = max(worst.lent, one.lent)
		worst.below = max(worst.below, one.below)
		worst.longest = max(worst.longest, one.longest)
		worst.moves = max(worst.moves, one.moves)
	}
	return worst
}

// waveLoansOnly plans like Decide but lends nothing to stand in for failures.
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

// TestDecide_CoversALostRack checks that as many spare VMs as a rack holds keep
// the budgets through the loss of any rack in the middle of a wave, and that
// pools stay below them for the whole outage if nothing stands in.
func TestDecide_CoversALostRack(t *testing.T) {
	for _, user := range examples.Users {
		settings, err := examples.Standin(user)
		require.NoError(t, err)
		covered := worstRack(t, user, settings.VMsPerRack, Decide)
		require.LessOrEqual(t, covered.longest, DefaultParams(0).FailureStabilization, user)
		naive := loseRack(t, user, settings.VMsPerRack, "rack-03", waveLoansOnly)
		require.GreaterOrEqual(t, naive.longest, modelOutage, user)
	}
}

// TestDecide_StandInGoesHome checks without a wave that spare VMs stand in
// once failures have settled, stay while VMs come and go, and then go home.
func TestDecide_StandInGoesHome(t *testing.T) {
	m := newUserModel(t, "pakhtun", 4, Decide)
	m.ok("p1", &statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease})
	lost := []string{"vm-00000", "vm-00001", "vm-00002", "vm-00003"}
	for _, id := range lost {
		m.ok("watch", &statemachine.VMFailed{VM: id, Condition: statemachine.ConditionUnconfirmed})
	}
	require.True(t, NeedsSubstitutes(m.state))
	plan := Decide(m.state, m.observe(), m.params, m.now.Add(m.params.FailureStabilization/2))
	require.Empty(t, plan.Actions, "the failures are too new")
	m.step("p1")
	require.Equal(t, 2, m.state.VMsOnLoan.Len())
	require.False(t, NeedsSubstitutes(m.state))
	m.step("p1")
	require.Equal(t, 2, m.state.VMsOnLoan.Len())

	m.recoverAll()
	for range m.params.SubstituteStabilization / modelTick / 2 {
		m.step("p1")
		require.Equal(t, 2, m.state.VMsOnLoan.Len(), "the VMs have only just come back")
	}
	m.until("the way home", func(Plan) bool { return m.state.VMsOnLoan.Len() == 0 })
	require.Equal(t, 4, m.moves)
}
