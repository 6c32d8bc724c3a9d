package placement

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// grantingWorkers grants every slot.
type grantingWorkers struct{ provider.Workers }

func (grantingWorkers) AcquireSlot(context.Context, string, provider.SlotRequest) (provider.SlotLease, error) {
	return provider.SlotLease{ID: "lease", TTL: LeaseTTL, FreeSlots: 1}, nil
}

// TestSetFleet_CordonsDrainedVM checks that the drain record alone keeps work
// away from a VM that the VM list still reports as live, that still grants
// slots and on which a lease is held.
func TestSetFleet_CordonsDrainedVM(t *testing.T) {
	clock := clockwork.NewFakeClock()
	placer := New("e", grantingWorkers{}, clock)
	vm := statemachine.VM{ID: "vm", Pool: "pool"}
	set := func(step statemachine.Step) {
		vm.Maintenance.Step = step
		placer.SetFleet(&statemachine.State{VMs: statemachine.Table[*statemachine.VM]{}.Set("vm", &vm)})
		placer.HandleVMList([]provider.VMInfo{{ID: "vm", State: provider.VMActive}}, clock.Now())
	}
	set(statemachine.StepServing)
	slot, err := placer.Acquire(t.Context(), []string{"pool"}, "")
	require.NoError(t, err)
	placer.Release(slot)

	set(statemachine.StepDraining)
	_, err = placer.Acquire(t.Context(), []string{"pool"}, "")
	require.ErrorIs(t, err, ErrNoSlot)

	set(statemachine.StepServing)
	_, err = placer.Acquire(t.Context(), []string{"pool"}, "")
	require.NoError(t, err)
}
