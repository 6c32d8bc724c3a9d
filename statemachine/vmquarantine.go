package statemachine

const (
	// KindVMQuarantine is the kind of VMQuarantine.
	KindVMQuarantine Kind = "vm_quarantine"
	// KindVMRelease is the kind of VMRelease.
	KindVMRelease Kind = "vm_release"
)

// VMQuarantine excludes a VM from new work. It is rejected unless the VM is in
// service in Pool at the Expected version and its pool and zone have budget
// left.
type VMQuarantine struct {
	VM       string          `json:"vm"`
	Pool     string          `json:"pool"`
	Expected uint64          `json:"expected"`
	Cause    QuarantineCause `json:"cause"`
	Message  string          `json:"message,omitempty"`
}

// Kind implements Command.
func (*VMQuarantine) Kind() Kind { return KindVMQuarantine }

func (c *VMQuarantine) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmAtVersion(next, c.VM, c.Expected)
	if rejection != nil {
		return rejection
	}
	if vm.Pool != c.Pool {
		return rejectf(ReasonVersion, "VM %s is in pool %s, not %s", c.VM, vm.Pool, c.Pool)
	}
	if !vm.Available() {
		return rejectf(ReasonStep, "VM %s is not in service", c.VM)
	}
	if c.Cause != QuarantineJobFailures && c.Cause != QuarantineByOperator {
		return rejectf(ReasonInvalid, "%q is not a quarantine cause", c.Cause)
	}
	if rejection := checkBudgets(next, vm); rejection != nil {
		return rejection
	}
	next.replaceVM(vm, c.quarantined(vm, ctx.atMS))
	return nil
}

// quarantined returns a copy of the VM in quarantine.
func (c *VMQuarantine) quarantined(vm *VM, atMS int64) *VM {
	out := *vm
	if atMS-vm.ReleasedMS > QuarantineResetAfter.Milliseconds() {
		out.Quarantines = 0
	}
	out.Quarantines++
	out.Quarantine = &Quarantine{Cause: c.Cause, Message: c.Message, SinceMS: atMS}
	if c.Cause != QuarantineByOperator {
		out.Quarantine.UntilMS = atMS + quarantineDuration(out.Quarantines).Milliseconds()
	}
	return &out
}

// VMRelease ends a quarantine. It is rejected unless the VM is in quarantine at
// the Expected version.
type VMRelease struct {
	VM       string `json:"vm"`
	Expected uint64 `json:"expected"`
	// Repaired resets the count of consecutive quarantines.
	Repaired bool `json:"repaired,omitempty"`
}

// Kind implements Command.
func (*VMRelease) Kind() Kind { return KindVMRelease }

func (c *VMRelease) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmAtVersion(next, c.VM, c.Expected)
	if rejection != nil {
		return rejection
	}
	if vm.Quarantine == nil {
		return rejectf(ReasonStep, "VM %s is not in quarantine", c.VM)
	}
	released := *vm
	released.Quarantine, released.ReleasedMS = nil, ctx.atMS
	if c.Repaired {
		released.Quarantines = 0
	}
	next.replaceVM(vm, &released)
	return nil
}
