package statemachine

const (
	// KindVMReboot is the kind of VMReboot.
	KindVMReboot Kind = "vm_reboot"
	// KindVMReturn is the kind of VMReturn.
	KindVMReturn Kind = "vm_return"
)

// VMReboot says that the writer has seen the drained VM empty and is about to
// restart it. It is void unless the VM drains at the Expected version.
type VMReboot struct {
	VM       string `json:"vm"`
	Expected uint64 `json:"expected"`
	// Epoch is the epoch of the maintenance lease.
	Epoch uint64 `json:"epoch"`
}

// Kind implements Command.
func (*VMReboot) Kind() Kind { return KindVMReboot }

func (c *VMReboot) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmAtVersion(next, c.VM, c.Expected)
	if rejection != nil {
		return rejection
	}
	if rejection := checkMaintenanceEpoch(next, ctx.writer, c.Epoch); rejection != nil {
		return rejection
	}
	if vm.Maintenance.Step != StepDraining || vm.Maintenance.MoveTo != "" {
		return rejectf(ReasonStep, "VM %s does not drain for a reboot", c.VM)
	}
	rebooting := *vm
	rebooting.Maintenance.Step = StepRebooting
	next.replaceVM(vm, &rebooting)
	return nil
}

// VMReturn puts a VM back into service. After a reboot the writer has
// confirmed that the VM is healthy and the VM counts as maintained. After a
// drain alone the drain is given up. It is void unless the VM is under
// maintenance at the Expected version.
type VMReturn struct {
	VM       string `json:"vm"`
	Expected uint64 `json:"expected"`
	// Epoch is the epoch of the maintenance lease. An operator who gives a
	// drain of their own up leaves it 0.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Kind implements Command.
func (*VMReturn) Kind() Kind { return KindVMReturn }

func (c *VMReturn) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmAtVersion(next, c.VM, c.Expected)
	if rejection != nil {
		return rejection
	}
	step := vm.Maintenance
	if step.Step == StepServing {
		return rejectf(ReasonStep, "VM %s is not under maintenance", c.VM)
	}
	if step.Wave != "" || step.Step == StepRebooting || c.Epoch != 0 {
		if rejection := checkMaintenanceEpoch(next, ctx.writer, c.Epoch); rejection != nil {
			return rejection
		}
	}
	returned := *vm
	returned.Maintenance = Maintenance{}
	switch {
	case step.Step == StepRebooting:
		returned.MaintainedBy = step.Wave
	case step.MoveTo == "":
		returned.SkippedBy = step.Wave
	}
	next.replaceVM(vm, &returned)
	return nil
}
