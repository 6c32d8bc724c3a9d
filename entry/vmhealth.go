package entry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// removeAfter is the time after which a VM that the platform's list lacks is
// taken out of the fleet: it was replaced.
const removeAfter = time.Minute

// writeHealth proposes what the VM list says of failures and recoveries.
func (f *fleetWatch) writeHealth(ctx context.Context, list []provider.VMInfo) {
	f.proposeAll(ctx, healthCommands(f.stream.State(), list, f.clock.Now()))
}

// healthCommands returns the records that bring the VMs' conditions in line
// with the list.
func healthCommands(state *statemachine.State, list []provider.VMInfo, now time.Time) []statemachine.Command {
	var out []statemachine.Command
	listed := make(map[string]provider.VMState, len(list))
	for _, info := range list {
		listed[info.ID] = info.State
	}
	for id, vm := range state.VMs.All() {
		seen, ok := listed[id]
		if command := healthCommand(vm, seen, ok, now); command != nil {
			out = append(out, command)
		}
	}
	return out
}

// healthCommand returns the record that the VM's line in the list calls for,
// or nil.
func healthCommand(vm *statemachine.VM, seen provider.VMState, listed bool, now time.Time) statemachine.Command {
	switch {
	case listed && seen == provider.VMFailed:
		return failure(vm, statemachine.ConditionFailed)
	case listed && vm.Condition != statemachine.ConditionHealthy:
		return &statemachine.VMRecovered{VM: vm.ID, Expected: vm.Version}
	case listed:
		return nil
	case vm.Condition == statemachine.ConditionUnconfirmed && now.Sub(time.UnixMilli(vm.ConditionSinceMS)) > removeAfter:
		return &statemachine.VMRemove{VM: vm.ID, Expected: vm.Version}
	default:
		return failure(vm, statemachine.ConditionUnconfirmed)
	}
}

func failure(vm *statemachine.VM, condition statemachine.Condition) statemachine.Command {
	if vm.Condition == condition {
		return nil
	}
	return &statemachine.VMFailed{VM: vm.ID, Condition: condition}
}
