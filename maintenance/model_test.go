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

// decider is a way to plan.
type decider func(s *statemachine.State, o Observation, p Params, now time.Time) Plan

// modelVM is a VM of the model: its tasks end by themselves once it drains.
type modelVM struct {
	tasksUntil time.Time
	drainedAt  time.Time
	rebootedAt time.Time
	version    uint64
}

// model carries out plans on a handful of VM records with a clock of its own.
// It is no simulation of a cluster: a VM is a time at which its tasks end.
type model struct {
	t      testing.TB
	state  *statemachine.State
	seq    map[string]uint64
	vms    map[string]*modelVM
	random *rand.Rand
	now    time.Time
	params Params
	decide decider
	need   map[string]int

	// What is measured.
	moves    int
	cut      int
	breaches int
	lentTime time.Duration
	voids    int
}

// fleetSize lays out a model's fleet.
type fleetSize struct {
	pools, vmsPerPool, spares, perRack, zones, budget int
}

// userFleet is the fleet of today's users: five pools, one of them spare.
var userFleet = fleetSize{pools: 4, vmsPerPool: 10, spares: 10, perRack: 4, zones: 4, budget: 2}

func newModel(t testing.TB, size fleetSize, w statemachine.Weights, decide decider, seed uint64) *model {
	m := &model{
		t: t, state: statemachine.New(), seq: make(map[string]uint64), vms: make(map[string]*modelVM),
		random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(0), params: DefaultParams(time.Second), decide: decide,
	}
	var pools []string
	for i := range size.pools {
		pools = append(pools, fmt.Sprintf("pool-%02d", i+1))
		m.ok("op", &statemachine.PoolSet{Pool: statemachine.Pool{Name: pools[i], MaxUnavailable: size.budget}})
	}
	m.ok("op", &statemachine.TemplateSet{Template: statemachine.Template{Name: "t", Pools: pools, Weights: w}})
	if size.spares > 0 {
		m.ok("op", &statemachine.PoolSet{Pool: statemachine.Pool{Name: "spare", MaxUnavailable: size.budget, Spare: true}})
	}
	for i := range size.pools*size.vmsPerPool + size.spares {
		pool, rack := "spare", i/size.perRack
		if i < size.pools*size.vmsPerPool {
			pool = pools[i/size.vmsPerPool]
		}
		m.add(fmt.Sprintf("vm-%05d", i), pool, fmt.Sprintf("rack-%04d", rack), fmt.Sprintf("z-%02d", rack%size.zones))
	}
	return m
}

func (m *model) add(id, pool, rack, zone string) {
	m.vms[id] = &modelVM{}
	m.ok("op", &statemachine.VMAdd{VM: statemachine.VM{ID: id, Pool: pool, Rack: rack, AvailabilityZone: zone}})
}

// startWave covers every pool and makes p1 the planner.
func (m *model) startWave(parallel int) {
	wave := statemachine.Wave{ID: "w", DrainTimeoutMS: time.Hour.Milliseconds(), MaxParallel: parallel}
	for name := range m.state.Pools.All() {
		wave.Pools = append(wave.Pools, name)
	}
	m.ok("op", &statemachine.WaveStart{Wave: wave})
	m.ok("p1", &statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease})
}

func (m *model) do(writer string, c statemachine.Command) *statemachine.Rejection {
	m.seq[writer]++
	next, results := m.state.Apply(m.state.NextOffset, statemachine.Batch{
		Writer: writer, AtMS: m.now.UnixMilli(), Records: []statemachine.Record{{Seq: m.seq[writer], Command: c}},
	})
	m.state = next
	return results[0].Rejection
}

func (m *model) ok(writer string, c statemachine.Command) {
	m.t.Helper()
	require.Nil(m.t, m.do(writer, c))
}

func (m *model) wave() *statemachine.Wave {
	wave, _ := m.state.Waves.Get("w")
	return wave
}

// observe is what the planning process sees of the VMs under maintenance.
func (m *model) observe() Observation {
	o := Observation{ListedAt: m.now, VMs: make(map[string]VMObservation), RequiredVMs: m.need}
	for id := range m.state.UnderMaintenance.All() {
		vm, _ := m.state.VMs.Get(id)
		real := m.vms[id]
		if real.version != vm.Version && vm.Maintenance.Step == statemachine.StepDraining {
			real.version, real.drainedAt = vm.Version, m.now
		}
		seen := VMObservation{CordonedAt: real.drainedAt, TasksQueriedAt: m.now}
		if m.now.Before(real.tasksUntil) {
			seen.Running = []RunningTask{{ID: "task"}}
		}
		if vm.Maintenance.Step == statemachine.StepRebooting && m.now.Sub(real.rebootedAt) >= modelReboot {
			seen.HealthyAt = m.now
		}
		o.VMs[id] = seen
	}
	return o
}

// step lets one tick pass and carries the plan out.
func (m *model) step(planner string) Plan {
	m.now = m.now.Add(modelTick)
	plan := m.decide(m.state, m.observe(), m.params, m.now)
	lease, _ := m.state.Leases.Get(statemachine.MaintenanceLease)
	for _, a := range plan.Actions {
		m.carryOut(planner, lease.Epoch, a)
	}
	m.lentTime += time.Duration(m.state.VMsOnLoan.Len()) * modelTick
	return plan
}

func (m *model) carryOut(planner string, epoch uint64, a Action) {
	command := CommandOf(a, epoch)
	if command == nil {
		return
	}
	if m.do(planner, command) != nil {
		m.voids++
		return
	}
	switch a.Kind {
	case ActionDrain:
		if pool, _ := m.state.Pools.Get(a.VM.Pool); !pool.Spare {
			m.vms[a.VM.ID].tasksUntil = m.now.Add(time.Duration(m.random.Int64N(int64(modelTask))))
		}
		if m.state.RemainingPoolBudget(a.VM.Pool) < 0 || m.state.RemainingZoneBudget(a.VM.AvailabilityZone) < 0 {
			m.breaches++
		}
	case ActionMove, ActionLend:
		m.moves++
	case ActionReboot:
		if m.now.Before(m.vms[a.VM.ID].tasksUntil) {
			m.cut++
		}
		m.vms[a.VM.ID].rebootedAt = m.now
	}
}

// runWave steps until the wave has ended and returns how long it took.
func (m *model) runWave() time.Duration {
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
