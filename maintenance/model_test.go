package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	modelTick   = 5 * time.Second
	modelReboot = 4 * time.Minute
	modelTask   = 2 * time.Minute
	modelLimit  = 24 * time.Hour
)

// decideFunc is a planning strategy.
type decideFunc func(s *statemachine.State, o Observation, p Params, now time.Time) Plan

// fleetModelVM is a VM whose tasks end by themselves once it drains.
type fleetModelVM struct {
	tasksUntil time.Time
	cordonedAt time.Time
	rebootedAt time.Time
	version    uint64
}

// fleetModel executes plans on a small set of VM records with its own clock.
// It simulates no cluster: a VM is only the time at which its tasks end.
type fleetModel struct {
	t           testing.TB
	state       *statemachine.State
	seq         map[string]uint64
	vms         map[string]*fleetModelVM
	random      *rand.Rand
	now         time.Time
	params      Params
	decide      decideFunc
	requiredVMs map[string]int

	// Measured values.
	moves            int
	interruptedTasks int
	budgetViolations int
	lentTime         time.Duration
	rejected         int
}

// fleetSize is the layout of a model's fleet.
type fleetSize struct {
	pools, vmsPerPool, spares, perRack, zones, budget int
}

// userFleet is sized like the users' fleets: five pools, one of them spare.
var userFleet = fleetSize{pools: 4, vmsPerPool: 10, spares: 10, perRack: 4, zones: 4, budget: 2}

func newFleetModel(t testing.TB, size fleetSize, w statemachine.Weights, decide decideFunc, seed uint64) *fleetModel {
	m := &fleetModel{
		t: t, state: statemachine.New(), seq: make(map[string]uint64), vms: make(map[string]*fleetModelVM),
		random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(0), params: DefaultParams(time.Second), decide: decide,
	}
	var pools []string
	for i := range size.pools {
		pools = append(pools, fmt.Sprintf("pool-%02d", i+1))
		m.mustApply("op", &statemachine.PoolSet{Pool: statemachine.Pool{Name: pools[i], MaxUnavailable: size.budget}})
	}
	m.mustApply("op", &statemachine.TemplateSet{Template: statemachine.Template{Name: "t", Pools: pools, Weights: w}})
	if size.spares > 0 {
		m.mustApply("op", &statemachine.PoolSet{Pool: statemachine.Pool{Name: "spare", MaxUnavailable: size.budget, Spare: true}})
	}
	for i := range size.pools*size.vmsPerPool + size.spares {
		pool, rack := "spare", i/size.perRack
		if i < size.pools*size.vmsPerPool {
			pool = pools[i/size.vmsPerPool]
		}
		m.addVM(fmt.Sprintf("vm-%05d", i), pool, fmt.Sprintf("rack-%04d", rack), fmt.Sprintf("z-%02d", rack%size.zones))
	}
	return m
}

func (m *fleetModel) addVM(id, pool, rack, zone string) {
	m.vms[id] = &fleetModelVM{}
	m.mustApply("op", &statemachine.VMAdd{VM: statemachine.VM{ID: id, Pool: pool, Rack: rack, AvailabilityZone: zone}})
}

// startWave starts a wave over all pools and makes p1 the planner.
func (m *fleetModel) startWave(parallel int) {
	wave := statemachine.Wave{ID: "w", DrainTimeoutMS: time.Hour.Milliseconds(), MaxParallel: parallel}
	for name := range m.state.Pools.All() {
		wave.Pools = append(wave.Pools, name)
	}
	m.mustApply("op", &statemachine.WaveStart{Wave: wave})
	m.mustApply("p1", &statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease})
}

func (m *fleetModel) apply(writer string, c statemachine.Command) *statemachine.Rejection {
	m.seq[writer]++
	next, results := m.state.Apply(m.state.NextOffset, statemachine.Batch{
		Writer: writer, AtMS: m.now.UnixMilli(), Records: []statemachine.Record{{Seq: m.seq[writer], Command: c}},
	})
	m.state = next
	return results[0].Rejection
}

func (m *fleetModel) mustApply(writer string, c statemachine.Command) {
	m.t.Helper()
	require.Nil(m.t, m.apply(writer, c))
}

func (m *fleetModel) wave() *statemachine.Wave {
	wave, _ := m.state.Waves.Get("w")
	return wave
}

// observe returns what the planner observes of the VMs under maintenance.
func (m *fleetModel) observe() Observation {
	o := Observation{ListedAt: m.now, VMs: make(map[string]VMObservation), RequiredVMs: m.requiredVMs}
	for id := range m.state.UnderMaintenance.All() {
		vm, _ := m.state.VMs.Get(id)
		actual := m.vms[id]
		if actual.version != vm.Version && vm.Maintenance.Step == statemachine.StepDraining {
			actual.version, actual.cordonedAt = vm.Version, m.now
		}
		observation := VMObservation{CordonedAt: actual.cordonedAt, TasksQueriedAt: m.now}
		if m.now.Before(actual.tasksUntil) {
			observation.Running = []RunningTask{{ID: "task"}}
		}
		if vm.Maintenance.Step == statemachine.StepRebooting && m.now.Sub(actual.rebootedAt) >= modelReboot {
			observation.HealthyAt = m.now
		}
		o.VMs[id] = observation
	}
	return o
}

// step advances the clock by one tick and executes the plan.
func (m *fleetModel) step(planner string) Plan {
	m.now = m.now.Add(modelTick)
	plan := m.decide(m.state, m.observe(), m.params, m.now)
	lease, _ := m.state.Leases.Get(statemachine.MaintenanceLease)
	for _, a := range plan.Actions {
		m.execute(planner, lease.Epoch, a)
	}
	m.lentTime += time.Duration(m.state.VMsOnLoan.Len()) * modelTick
	return plan
}

func (m *fleetModel) execute(planner string, epoch uint64, a Action) {
	command := CommandOf(a, epoch)
	if command == nil {
		return
	}
	if m.apply(planner, command) != nil {
		m.rejected++
		return
	}
	switch a.Kind {
	case ActionDrain:
		if pool, _ := m.state.Pools.Get(a.VM.Pool); !pool.Spare {
			m.vms[a.VM.ID].tasksUntil = m.now.Add(time.Duration(m.random.Int64N(int64(modelTask))))
		}
		if m.state.RemainingPoolBudget(a.VM.Pool) < 0 || m.state.RemainingZoneBudget(a.VM.AvailabilityZone) < 0 {
			m.budgetViolations++
		}
	case ActionMove, ActionLend:
		m.moves++
	case ActionReboot:
		if m.now.Before(m.vms[a.VM.ID].tasksUntil) {
			m.interruptedTasks++
		}
		m.vms[a.VM.ID].rebootedAt = m.now
	}
}

// runWave steps until the wave has ended and returns its duration.
func (m *fleetModel) runWave() time.Duration {
	start := m.now
	for m.now.Sub(start) < modelLimit {
		if m.wave().State.Finished() {
			return m.now.Sub(start)
		}
		m.step("p1")
	}
	m.t.Errorf("the wave did not end: %+v", m.decide(m.state, m.observe(), m.params, m.now))
	return modelLimit
}
