package statemachine

const (
	// KindVMFailed is the kind of VMFailed.
	KindVMFailed Kind = "vm_failed"
	// KindVMRecovered is the kind of VMRecovered.
	KindVMRecovered Kind = "vm_recovered"
)

// VMFailed reports that a VM has failed or is unconfirmed. It records an
// observed fact: no budget rejects it, and it needs no version.
type VMFailed struct {
	VM        string    `json:"vm"`
	Condition Condition `json:"condition"`
}

// Kind implements Command.
func (*VMFailed) Kind() Kind { return KindVMFailed }

func (c *VMFailed) apply(next *State, ctx applyContext) *Rejection {
	vm, ok := next.VMs.Get(c.VM)
	if !ok {
		return rejectf(ReasonNotFound, "VM %s is not registered", c.VM)
	}
	if c.Condition != ConditionFailed && c.Condition != ConditionUnconfirmed {
		return rejectf(ReasonInvalid, "%q is not the condition of a failed VM", c.Condition)
	}
	if vm.Condition == c.Condition {
		return rejectf(ReasonExists, "VM %s is already %s", c.VM, c.Condition)
	}
	failed := *vm
	failed.Condition, failed.ConditionSinceMS = c.Condition, ctx.atMS
	next.replaceVM(vm, &failed)
	return nil
}

// VMRecovered reports that a failed or unconfirmed VM is healthy again. It is
// rejected unless the VM is at the Expected version, so that a late record does
// not hide a newer failure.
type VMRecovered struct {
	VM       string `json:"vm"`
	Expected uint64 `json:"expected"`
}

// Kind implements Command.
func (*VMRecovered) Kind() Kind { return KindVMRecovered }

func (c *VMRecovered) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmAtVersion(next, c.VM, c.Expected)
	if rejection != nil {
		return rejection
	}
	if vm.Condition == ConditionHealthy {
		return rejectf(ReasonExists, "VM %s is already healthy", c.VM)
	}
	recovered := *vm
	recovered.Condition, recovered.ConditionSinceMS = ConditionHealthy, ctx.atMS
	next.replaceVM(vm, &recovered)
	return nil
}
