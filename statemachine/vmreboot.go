package statemachine

const (
	// KindVMReboot is the kind of VMReboot.
	KindVMReboot Kind = "vm_reboot"
	// KindVMReturn is the kind of VMReturn.
	KindVMReturn Kind = "vm_return"
)

// VMReboot records that the writer has observed the drained VM without tasks
// and is about to restart it. It is rejected unless the VM is draining at the
// Expected version.
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
		return rejectf(ReasonStep, "VM %s is not draining for a reboot", c.VM)
	}
	rebooting := *vm
	rebooting.Maintenance.Step = StepRebooting
	next.replaceVM(vm, &rebooting)
	return nil
}

// VMReturn returns a VM to service. After a reboot the writer has confirmed
// that the VM is healthy and the VM counts as maintained. After a drain alone
// the drain is abandoned. It is rejected unless the VM is under maintenance at
// the Expected version.
type VMReturn struct {
	VM       string `json:"vm"`
	Expected uint64 `json:"expected"`
	// Epoch is the epoch of the maintenance lease. It is 0 for an operator who
	// abandons their own drain.
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
