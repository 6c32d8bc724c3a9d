package statemachine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fleetFixture applies commands of several writers to a state with VMs.
type fleetFixture struct {
	t     testing.TB
	state *State
	seq   map[string]uint64
}

// newFleetFixture returns pools "a" (4 VMs, budget 1), "b" (4 VMs, budget 2) and
// "spare" (2 VMs, budget 2) over zones z-0 and z-1, with a running wave w and
// the maintenance lease held by p1 at epoch 1.
func newFleetFixture(t testing.TB) *fleetFixture {
	f := &fleetFixture{t: t, state: New(), seq: make(map[string]uint64)}
	f.mustApply("op", &PoolSet{Pool: Pool{Name: "a", MaxUnavailable: 1}})
	f.mustApply("op", &PoolSet{Pool: Pool{Name: "b", MaxUnavailable: 2, MinVMs: 2}})
	f.mustApply("op", &PoolSet{Pool: Pool{Name: "spare", MaxUnavailable: 2, Spare: true}})
	for id, pool := range map[string]string{
		"a0": "a", "a1": "a", "a2": "a", "a3": "a", "b0": "b", "b1": "b", "b2": "b", "b3": "b", "s0": "spare", "s1": "spare",
	} {
		f.mustApply("op", &VMAdd{VM: VM{ID: id, Pool: pool, AvailabilityZone: "z-" + string('0'+(id[1]-'0')%2)}})
	}
	f.mustApply("op", &WaveStart{Wave: Wave{ID: "w", Pools: []string{"a", "b"}, DrainTimeoutMS: 1000, MaxParallel: 4}})
	f.mustApply("p1", &LeaseAcquire{Name: MaintenanceLease})
	return f
}

func (f *fleetFixture) apply(writer string, c Command) *Rejection {
	f.seq[writer]++
	next, results := f.state.Apply(f.state.NextOffset, Batch{Writer: writer, AtMS: 1, Records: []Record{{Seq: f.seq[writer], Command: c}}})
	f.state = next
	return results[0].Rejection
}

func (f *fleetFixture) mustApply(writer string, c Command) {
	f.t.Helper()
	require.Nil(f.t, f.apply(writer, c))
}

func (f *fleetFixture) mustReject(reason Reason, writer string, c Command) {
	f.t.Helper()
	rejection := f.apply(writer, c)
	require.NotNil(f.t, rejection, "%T took effect", c)
	require.Equal(f.t, reason, rejection.Reason, rejection.Message)
}

func (f *fleetFixture) vm(id string) *VM {
	vm, ok := f.state.VMs.Get(id)
	require.True(f.t, ok)
	return vm
}

func (f *fleetFixture) drainCommandFor(id string, epoch uint64) *VMDrain {
	vm := f.vm(id)
	return &VMDrain{VM: id, Pool: vm.Pool, Expected: vm.Version, Wave: "w", Epoch: epoch}
}

func TestMaintenance_StepsOfOneVM(t *testing.T) {
	f := newFleetFixture(t)
	f.mustApply("p1", f.drainCommandFor("a0", 1))
	f.mustReject(ReasonStep, "p1", f.drainCommandFor("a0", 1))
	f.mustApply("p1", &VMReboot{VM: "a0", Expected: 2, Epoch: 1})
	f.mustReject(ReasonVersion, "p1", &VMReboot{VM: "a0", Expected: 2, Epoch: 1})
	f.mustApply("p1", &VMReturn{VM: "a0", Expected: 3, Epoch: 1})
	require.Equal(t, "w", f.vm("a0").MaintainedBy)
	require.True(t, f.vm("a0").Available())

	f.mustApply("p1", f.drainCommandFor("a1", 1))
	f.mustApply("p1", &VMReturn{VM: "a1", Expected: 2, Epoch: 1})
	require.Equal(t, "w", f.vm("a1").SkippedBy)
	require.Empty(t, f.vm("a1").MaintainedBy)
}

func TestMaintenance_BudgetsRejectDrains(t *testing.T) {
	f := newFleetFixture(t)
	f.mustApply("p1", f.drainCommandFor("a0", 1))
	f.mustReject(ReasonBudget, "p1", f.drainCommandFor("a1", 1))
	f.mustReject(ReasonBudget, "op", &VMDrain{VM: "a1", Pool: "a", Expected: 1})
	f.mustApply("op", &ZoneSet{Zone: Zone{Name: "z-0", MaxUnavailable: 1}})
	f.mustReject(ReasonBudget, "p1", f.drainCommandFor("b0", 1))
	f.mustApply("p1", f.drainCommandFor("b1", 1))
	f.mustApply("watch", &VMFailed{VM: "b0", Condition: ConditionFailed})
	f.mustApply("watch", &VMFailed{VM: "b2", Condition: ConditionUnconfirmed})
	require.Equal(t, -1, f.state.RemainingPoolBudget("b"))
	f.mustReject(ReasonBudget, "p1", f.drainCommandFor("b3", 1))
	f.mustReject(ReasonVersion, "watch", &VMRecovered{VM: "b0", Expected: 1})
	f.mustApply("watch", &VMRecovered{VM: "b0", Expected: 2})
	require.Equal(t, 0, f.state.RemainingPoolBudget("b"))
	f.mustReject(ReasonStep, "op", &VMRemove{VM: "b3", Expected: 1})
	f.mustApply("op", &VMRemove{VM: "b2", Expected: 2})
	require.Equal(t, 1, f.state.RemainingPoolBudget("b"))
}

func TestMaintenance_MovesEmptyVMsOnly(t *testing.T) {
	f := newFleetFixture(t)
	f.mustReject(ReasonStep, "p1", &VMMove{VM: "s0", From: "spare", To: "a", Expected: 1, Epoch: 1})
	f.mustApply("p1", &VMDrain{VM: "s0", Pool: "spare", Expected: 1, MoveTo: "a", Wave: "w", Epoch: 1})
	f.mustReject(ReasonStep, "p1", &VMMove{VM: "s0", From: "spare", To: "b", Expected: 2, Epoch: 1})
	f.mustReject(ReasonStep, "p1", &VMReboot{VM: "s0", Expected: 2, Epoch: 1})
	f.mustReject(ReasonEpoch, "op", &VMMove{VM: "s0", From: "spare", To: "a", Expected: 2})
	f.mustApply("p1", &VMMove{VM: "s0", From: "spare", To: "a", Expected: 2, Epoch: 1})
	require.Equal(t, "a", f.vm("s0").Pool)
	require.Equal(t, "spare", f.vm("s0").Home)
	f.mustReject(ReasonVersion, "p2", &VMDrain{VM: "s0", Pool: "spare", Expected: 3, MoveTo: "b"})
	f.mustApply("op", &VMDrain{VM: "s0", Pool: "a", Expected: 3, MoveTo: "spare"})
	f.mustApply("p1", &VMMove{VM: "s0", From: "a", To: "spare", Expected: 4, Epoch: 1})
	require.Empty(t, f.vm("s0").Home)
	f.mustApply("op", &PoolSet{Pool: Pool{Name: "b", MaxUnavailable: 2, MinVMs: 4}, Expected: 1})
	f.mustReject(ReasonBudget, "op", &VMDrain{VM: "b0", Pool: "b", Expected: 1, MoveTo: "a"})
}

func TestMaintenance_EpochFencesSteps(t *testing.T) {
	f := newFleetFixture(t)
	f.mustApply("p1", f.drainCommandFor("a0", 1))
	f.mustReject(ReasonEpoch, "p2", &LeaseAcquire{Name: MaintenanceLease})
	f.mustApply("p2", &LeaseAcquire{Name: MaintenanceLease, Expected: 1})
	f.mustReject(ReasonEpoch, "p1", &LeaseRenew{Name: MaintenanceLease, Epoch: 1})
	f.mustReject(ReasonEpoch, "p1", &VMReboot{VM: "a0", Expected: 2, Epoch: 1})
	f.mustReject(ReasonEpoch, "p1", &VMReturn{VM: "a0", Expected: 2, Epoch: 1})
	f.mustReject(ReasonEpoch, "p1", f.drainCommandFor("b1", 1))
	f.mustApply("p2", f.drainCommandFor("b1", 2))
	f.mustApply("p2", &VMReboot{VM: "a0", Expected: 2, Epoch: 2})
	f.mustApply("p2", &LeaseRenew{Name: MaintenanceLease, Epoch: 2})
	f.mustApply("p2", &LeaseRelease{Name: MaintenanceLease, Epoch: 2})
	f.mustReject(ReasonEpoch, "p2", &VMReturn{VM: "a0", Expected: 3, Epoch: 2})
}

func TestMaintenance_WaveStates(t *testing.T) {
	f := newFleetFixture(t)
	f.mustReject(ReasonExists, "op", &WaveStart{Wave: Wave{ID: "v", Pools: []string{"b"}, DrainTimeoutMS: 1, MaxParallel: 1}})
	f.mustApply("op", &WaveSet{Wave: "w", Expected: 1, State: WavePaused})
	f.mustReject(ReasonStep, "p1", f.drainCommandFor("a0", 1))
	f.mustReject(ReasonVersion, "op", &WaveSet{Wave: "w", Expected: 1, State: WaveRunning})
	f.mustApply("op", &WaveSet{Wave: "w", Expected: 2, State: WaveRunning, AcceptFailures: 2})
	f.mustApply("p1", f.drainCommandFor("a0", 1))
	f.mustReject(ReasonEpoch, "op", &WaveSet{Wave: "w", Expected: 3, State: WaveDone})
	f.mustApply("op", &WaveSet{Wave: "w", Expected: 3, State: WaveAborted})
	f.mustReject(ReasonStep, "op", &WaveSet{Wave: "w", Expected: 4, State: WaveRunning})
	f.mustReject(ReasonStep, "p1", f.drainCommandFor("b1", 1))
}
