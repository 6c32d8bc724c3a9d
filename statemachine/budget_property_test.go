package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	scheduleSteps = 150
	uncheckedRuns = 20
)

// uncheckedDrain skips the reducer's checks: only the planner has checked.
type uncheckedDrain struct{ VMDrain }

func (c *uncheckedDrain) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmAtVersion(next, c.VM, c.Expected)
	if rejection != nil {
		return rejection
	}
	c.drain(next, vm, ctx)
	return nil
}

// randomSchedule is a random sequence of records of two planners, operators and
// a health monitor. The planners decide on stale states, and records arrive
// late, twice or out of order.
type randomSchedule struct {
	*fleetFixture
	draw            func(n int) int
	uncheckedDrains bool
	views           map[string]*State
	pending         []Batch
	addedVMs        int
}

var planners = []string{"p1", "p2"}

func (s *randomSchedule) run() error {
	for _, p := range planners {
		s.views[p] = s.state
	}
	for range scheduleSteps {
		s.writeRandomRecord(planners[s.draw(2)])
		if len(s.pending) > 0 && s.draw(3) > 0 {
			if err := s.deliver(); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeRandomRecord lets a planner or another writer write one record.
func (s *randomSchedule) writeRandomRecord(planner string) {
	view := s.views[planner]
	vm, pools := s.pickVM(view), []string{"a", "b", "spare"}
	lease, _ := view.Leases.Get(MaintenanceLease)
	to := pools[s.draw(3)]
	switch s.draw(14) {
	case 0, 1:
		s.views[planner] = s.state
	case 2, 3, 4:
		drain := VMDrain{VM: vm.ID, Pool: vm.Pool, Expected: vm.Version, Wave: "w", Epoch: lease.Epoch}
		if view.RemainingPoolBudget(vm.Pool) > 0 && view.RemainingZoneBudget(vm.AvailabilityZone) > 0 {
			s.write(planner, s.drainCommand(drain))
		}
	case 5:
		s.write("op", s.drainCommand(VMDrain{VM: vm.ID, Pool: vm.Pool, Expected: vm.Version, MoveTo: to}))
	case 6, 7:
		s.write(planner, &VMReboot{VM: vm.ID, Expected: vm.Version, Epoch: lease.Epoch})
	case 8, 9:
		s.write(planner, &VMReturn{VM: vm.ID, Expected: vm.Version, Epoch: lease.Epoch})
	case 10:
		s.write(planner, &VMMove{VM: vm.ID, From: vm.Pool, To: vm.Maintenance.MoveTo, Expected: vm.Version, Epoch: lease.Epoch})
	case 11:
		s.write("watch", &VMFailed{VM: vm.ID, Condition: ConditionFailed})
	case 12:
		s.write("watch", &VMRecovered{VM: vm.ID, Expected: vm.Version})
	default:
		s.writeRareRecord(planner, vm, lease)
	}
}

// writeRareRecord writes a less frequent record: a takeover, a VM added,
// removed, lent, quarantined or released, a wave paused or resumed.
func (s *randomSchedule) writeRareRecord(planner string, vm *VM, lease *Lease) {
	wave, _ := s.views[planner].Waves.Get("w")
	switch s.draw(7) {
	case 4:
		s.write(planner, &VMQuarantine{VM: vm.ID, Pool: vm.Pool, Expected: vm.Version, Cause: QuarantineJobFailures})
	case 5:
		s.write("op", &VMRelease{VM: vm.ID, Expected: vm.Version})
	case 0:
		s.write(planner, &LeaseAcquire{Name: MaintenanceLease, Expected: lease.Epoch})
	case 1:
		s.write("op", &VMRemove{VM: vm.ID, Expected: vm.Version})
	case 2:
		s.addedVMs++
		s.write("watch", &VMAdd{VM: VM{ID: fmt.Sprintf("n%d", s.addedVMs), Pool: vm.Pool, AvailabilityZone: vm.AvailabilityZone}})
	case 6:
		s.write(planner, &VMLend{VM: vm.ID, From: vm.Pool, To: []string{"a", "b"}[s.draw(2)], Expected: vm.Version, Epoch: lease.Epoch})
	default:
		s.write("op", &WaveSet{Wave: "w", Expected: wave.Version, State: []WaveState{WaveRunning, WavePaused}[s.draw(2)]})
	}
}

func (s *randomSchedule) drainCommand(drain VMDrain) Command {
	if s.uncheckedDrains {
		return &uncheckedDrain{VMDrain: drain}
	}
	return &drain
}

func (s *randomSchedule) pickVM(view *State) *VM {
	n := s.draw(view.VMs.Len())
	for _, vm := range view.VMs.All() {
		if n == 0 {
			return vm
		}
		n--
	}
	panic("no VM")
}

func (s *randomSchedule) write(writer string, c Command) {
	s.seq[writer]++
	s.pending = append(s.pending, Batch{Writer: writer, Records: []Record{{Seq: s.seq[writer], Command: c}}})
}

// deliver applies one of the latest pending records and may leave it pending
// for a duplicate delivery.
func (s *randomSchedule) deliver() error {
	n := len(s.pending) - 1 - s.draw(min(4, len(s.pending)))
	batch := s.pending[n]
	if s.draw(5) > 0 {
		s.pending = append(s.pending[:n:n], s.pending[n+1:]...)
	}
	before := s.state
	after, results := before.Apply(before.NextOffset, batch)
	s.state = after
	if results[0].Rejection != nil {
		return nil
	}
	return findViolation(before, after, batch.Records[0].Command)
}

// findViolation returns an invariant that the record has broken, recounting all
// VMs.
func findViolation(before, after *State, c Command) error {
	pools, zones := map[string]Usage{}, map[string]Usage{}
	for _, vm := range after.VMs.All() {
		pools[vm.Pool] = pools[vm.Pool].plus(vm, 1)
		zones[vm.AvailabilityZone] = zones[vm.AvailabilityZone].plus(vm, 1)
	}
	for name, pool := range after.Pools.All() {
		counted, _ := after.PoolUsage.Get(name)
		old, _ := before.PoolUsage.Get(name)
		if err := checkUsage(name, c, pools[name], counted, old, pool.MaxUnavailable); err != nil {
			return err
		}
	}
	for name, counted := range after.ZoneUsage.All() {
		old, _ := before.ZoneUsage.Get(name)
		if err := checkUsage(name, c, zones[name], counted, old, after.ZoneBudget(name)); err != nil {
			return err
		}
	}
	return nil
}

func checkUsage(name string, c Command, real, counted, before Usage, budget int) error {
	if real != counted {
		return fmt.Errorf("%s: counted %+v, actual %+v", name, counted, real)
	}
	_, failure := c.(*VMFailed)
	if !failure && real.Unavailable > before.Unavailable && real.Unavailable > budget {
		return fmt.Errorf("%s: %s made %d unavailable, budget %d", name, c.Kind(), real.Unavailable, budget)
	}
	return nil
}

func newRandomSchedule(t testing.TB, uncheckedDrains bool, draw func(n int) int) *randomSchedule {
	return &randomSchedule{fleetFixture: newFleetFixture(t), draw: draw, uncheckedDrains: uncheckedDrains, views: make(map[string]*State)}
}

// TestBudget_HoldsOverRandomSchedules checks that no record but a failure takes
// a pool or zone over its budget, and that each VM counts in one pool.
func TestBudget_HoldsOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newRandomSchedule(t, false, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "draw") })
		if err := s.run(); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestBudget_UncheckedReducerExceedsBudgets checks that the same schedules
// exceed budgets if only the planners check them.
func TestBudget_UncheckedReducerExceedsBudgets(t *testing.T) {
	violations := 0
	for seed := range uint64(uncheckedRuns) {
		require.NoError(t, newRandomSchedule(t, false, rand.New(rand.NewPCG(seed, 1)).IntN).run())
		if newRandomSchedule(t, true, rand.New(rand.NewPCG(seed, 1)).IntN).run() != nil {
			violations++
		}
	}
	require.Equal(t, uncheckedRuns, violations)
}
