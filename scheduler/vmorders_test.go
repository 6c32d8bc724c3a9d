package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

const testOrderWindow = 3 * time.Second

// newOrderingFleet returns a fleet of switched-off VMs whose leader stores VM orders, with
// more work than the pool's only VM has room for.
func newOrderingFleet(t *testing.T, spare int) *testFleet {
	f := newTestFleet(t)
	f.s.cfg.Policies.StoredVMOrders = true
	f.addVM("busy", testPool, 1)
	for i := range spare {
		f.addVM(fmt.Sprintf("spare%d", i), sparePool, 4)
	}
	f.s.Submit(f.newJob("0123456789abcdef", fleet.Step{Count: 12, EstimateMillis: 4000}), f.now)
	return f
}

// planAndStore plans VMs once and stores what was decided after the delay. It returns the
// operations before and after that.
func (f *testFleet) planAndStore(delay time.Duration) (before, after []VMOperation) {
	f.listVMs()
	for id := range f.workers {
		f.poll(id)
	}
	f.s.PlanVMs(f.now)
	before = f.s.TakeVMOperations()
	batch := f.s.TakeBatch()
	f.now = f.now.Add(delay)
	f.s.HandleBatchPersisted(batch.Number, f.now)
	for _, r := range batch.Records {
		if vm, ok := ledger.OrderedVM(r); ok {
			require.NotNil(f.t, f.s.vms[vm])
		}
	}
	return before, f.s.TakeVMOperations()
}

// TestVMOrders_StoredBeforeTheyAreSent checks that no order goes out before its record is
// stored, and none once the record was stored late.
func TestVMOrders_StoredBeforeTheyAreSent(t *testing.T) {
	f := newOrderingFleet(t, 6)
	before, after := f.planAndStore(5 * time.Millisecond)
	require.Empty(t, before)
	require.NotEmpty(t, after)

	f = newOrderingFleet(t, 6)
	before, after = f.planAndStore(MaxVMOrderWait + time.Millisecond)
	require.Empty(t, before)
	require.Empty(t, after, "an order that was stored late is sent")
	_, after = f.planAndStore(5 * time.Millisecond)
	require.NotEmpty(t, after, "the VMs are not ordered anew")
}

// TestVMOrders_LeaderLostInDemandPeak loses the leader while a pool lacks VMs and most VMs
// are switched off. They run no worker whose age could show that their last order is old:
// without the stored orders none of them may be moved for three seconds.
func TestVMOrders_LeaderLostInDemandPeak(t *testing.T) {
	moved := func(readAt map[string]time.Time) []VMOperation {
		f := newOrderingFleet(t, 6)
		f.s.cfg.PreviousLeaderOperationWindow = testOrderWindow
		for id, w := range f.workers {
			if w.Pool == sparePool {
				w.StartedAtMillis = 0
				f.workers[id] = w
				f.s.workers[id].info.StartedAtMillis = 0
			}
		}
		f.s.RestoreVMOrders(readAt)
		_, operations := f.planAndStore(5 * time.Millisecond)
		return operations
	}
	now := time.UnixMilli(1_700_000_000_000)
	require.Empty(t, moved(nil), "the orders before are not known")
	lately, longAgo := now.Add(-time.Second), now.Add(-testOrderWindow-MaxVMOrderWait-VMOrderTimeout-time.Millisecond)
	operations := moved(map[string]time.Time{"spare0": lately, "spare1": longAgo})
	require.NotEmpty(t, operations, "no VM is moved although most have had no order for long")
	for _, op := range operations {
		require.NotEqual(t, "spare0", op.VM, "a VM that the leader before has just ordered")
	}
}

// TestVMOrders_BudgetUsedUpMeanwhile uses up the disruption budget of a VM's task between the
// decision on the VM's maintenance and the end of its order's append.
func TestVMOrders_BudgetUsedUpMeanwhile(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("another task lost: %v", lost), func(t *testing.T) {
			f := newTestFleet(t)
			f.s.cfg.Policies.StoredVMOrders = true
			for i := range 3 {
				f.addVM(fmt.Sprint("a", i), testPool, 1)
			}
			f.s.Submit(f.newJob("0123456789abcdef", longRunningStep(3, 1)), f.now)
			f.advance(5 * time.Second)
			f.listVMs()
			ordered := f.s.vms["a0"]
			op := VMOperation{Kind: VMMaintain, VM: "a0", Wave: 1}
			require.True(t, f.s.withinDisruptionBudgets(f.s.workerOf(ordered), f.now))
			f.s.startOperation(ordered, op, f.now)
			batch := f.s.TakeBatch()
			if lost {
				f.s.workers["w-a1"].missedPolls = 1
			}
			f.s.HandleBatchPersisted(batch.Number, f.now)
			if lost {
				require.Empty(t, f.s.TakeVMOperations(), "two of three tasks are away, one may be")
				require.Nil(t, ordered.operation)
			} else {
				require.Equal(t, []VMOperation{op}, f.s.TakeVMOperations())
			}
		})
	}
}
