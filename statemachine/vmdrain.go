package statemachine

// KindVMDrain is the kind of VMDrain.
const KindVMDrain Kind = "vm_drain"

// VMDrain takes a VM out of service. It is rejected unless the VM is in service
// in Pool at the Expected version and its pool and zone have budget left.
type VMDrain struct {
	VM       string `json:"vm"`
	Pool     string `json:"pool"`
	Expected uint64 `json:"expected"`
	// Wave is the wave that the step belongs to, or empty for an operator.
	Wave string `json:"wave,omitempty"`
	// Epoch is the epoch of the maintenance lease. A wave's step requires it.
	Epoch uint64 `json:"epoch,omitempty"`
	// MoveTo is the pool that the VM joins once drained, or empty to reboot it.
	MoveTo string `json:"move_to,omitempty"`
}

// Kind implements Command.
func (*VMDrain) Kind() Kind { return KindVMDrain }

func (c *VMDrain) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmAtVersion(next, c.VM, c.Expected)
	if rejection != nil {
		return rejection
	}
	if rejection := c.check(next, vm, ctx); rejection != nil {
		return rejection
	}
	if rejection := checkBudgets(next, vm); rejection != nil {
		return rejection
	}
	c.drain(next, vm, ctx)
	return nil
}

// check rejects a drain for a reason other than the budgets.
func (c *VMDrain) check(s *State, vm *VM, ctx applyContext) *Rejection {
	if vm.Pool != c.Pool {
		return rejectf(ReasonVersion, "VM %s is in pool %s, not %s", c.VM, vm.Pool, c.Pool)
	}
	if !vm.Available() {
		return rejectf(ReasonStep, "VM %s is not in service", c.VM)
	}
	if rejection := checkMove(s, vm, c.MoveTo); rejection != nil {
		return rejection
	}
	if c.Wave == "" {
		return nil
	}
	if rejection := checkMaintenanceEpoch(s, ctx.writer, c.Epoch); rejection != nil {
		return rejection
	}
	return checkWave(s, c.Wave)
}

func (c *VMDrain) drain(next *State, vm *VM, ctx applyContext) {
	drained := *vm
	drained.Maintenance = Maintenance{Step: StepDraining, Wave: c.Wave, MoveTo: c.MoveTo, SinceMS: ctx.atMS}
	next.replaceVM(vm, &drained)
}
