package entry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// missingVMRemovalDelay is the time after which a VM missing from the platform's
// list is removed: it was replaced.
const missingVMRemovalDelay = time.Minute

// writeHealth proposes the failures and recoveries that the VM list shows.
func (p *vmListPoller) writeHealth(ctx context.Context, list []provider.VMInfo) {
	p.proposeAll(ctx, healthCommands(p.stream.State(), list, p.clock.Now()))
}

// healthCommands returns the records that reconcile the VMs' conditions with
// the list.
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

// healthCommand returns the record that reconciles the VM with its state in the
// list, or nil.
func healthCommand(vm *statemachine.VM, seen provider.VMState, listed bool, now time.Time) statemachine.Command {
	switch {
	case listed && seen == provider.VMFailed:
		return failureCommand(vm, statemachine.ConditionFailed)
	case listed && vm.Condition != statemachine.ConditionHealthy:
		return &statemachine.VMRecovered{VM: vm.ID, Expected: vm.Version}
	case listed:
		return nil
	case vm.Condition == statemachine.ConditionUnconfirmed && now.Sub(time.UnixMilli(vm.ConditionSinceMS)) > missingVMRemovalDelay:
		return &statemachine.VMRemove{VM: vm.ID, Expected: vm.Version}
	default:
		return failureCommand(vm, statemachine.ConditionUnconfirmed)
	}
}

func failureCommand(vm *statemachine.VM, condition statemachine.Condition) statemachine.Command {
	if vm.Condition == condition {
		return nil
	}
	return &statemachine.VMFailed{VM: vm.ID, Condition: condition}
}
