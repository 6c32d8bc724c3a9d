package statemachine

// VM is a worker machine. It belongs to exactly one pool.
type VM struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	Pool             string `json:"pool"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Slots            int    `json:"slots"`
	// Condition is the VM's latest recorded health.
	Condition Condition `json:"condition,omitempty"`
	// ConditionSinceMS is the writer's wall clock at the latest change of the
	// condition, in Unix milliseconds.
	ConditionSinceMS int64 `json:"condition_since_ms,omitempty"`
	// Maintenance is the maintenance step that the VM is in.
	Maintenance Maintenance `json:"maintenance"`
	// MaintainedBy is the latest wave that has rebooted the VM.
	MaintainedBy string `json:"maintained_by,omitempty"`
	// SkippedBy is the latest wave whose drain of the VM timed out.
	SkippedBy string `json:"skipped_by,omitempty"`
	// Quarantine is set while the VM is excluded from new work.
	Quarantine *Quarantine `json:"quarantine,omitempty"`
	// Quarantines counts the consecutive quarantines, with less than
	// QuarantineResetAfter in service between.
	Quarantines int `json:"quarantines,omitempty"`
	// ReleasedMS is the writer's wall clock at the latest release from a
	// quarantine, in Unix milliseconds.
	ReleasedMS int64 `json:"released_ms,omitempty"`
	// Home is the pool that the VM is on loan from, or empty.
	Home string `json:"home,omitempty"`
	// AddedAt is the offset at which the VM was registered.
	AddedAt uint64 `json:"added_at"`
	// Version counts the changes, from 1.
	Version uint64 `json:"version"`
}

// Available reports whether the VM may take new work.
func (v *VM) Available() bool {
	return v.Maintenance.Step == StepServing && v.Condition == ConditionHealthy && v.Quarantine == nil
}

const (
	// KindVMAdd is the kind of VMAdd.
	KindVMAdd Kind = "vm_add"
	// KindVMRemove is the kind of VMRemove.
	KindVMRemove Kind = "vm_remove"
)

// VMAdd registers a VM in a pool. It is rejected if the VM is registered.
type VMAdd struct {
	VM VM `json:"vm"`
}

// Kind implements Command.
func (*VMAdd) Kind() Kind { return KindVMAdd }

func (c *VMAdd) apply(next *State, ctx applyContext) *Rejection {
	if current, ok := next.VMs.Get(c.VM.ID); ok {
		return rejectf(ReasonExists, "VM %s is in pool %s", c.VM.ID, current.Pool)
	}
	if _, ok := next.Pools.Get(c.VM.Pool); !ok {
		return rejectf(ReasonNotFound, "pool %s does not exist", c.VM.Pool)
	}
	vm := VM{
		ID: c.VM.ID, Address: c.VM.Address, Pool: c.VM.Pool,
		AvailabilityZone: c.VM.AvailabilityZone, Rack: c.VM.Rack, Slots: c.VM.Slots,
		AddedAt: ctx.offset,
	}
	next.replaceVM(nil, &vm)
	return nil
}

// VMRemove removes a VM from the fleet. It is rejected while the VM is
// available, so that a removal cannot bypass the budgets.
type VMRemove struct {
	VM       string `json:"vm"`
	Expected uint64 `json:"expected"`
}

// Kind implements Command.
func (*VMRemove) Kind() Kind { return KindVMRemove }

func (c *VMRemove) apply(next *State, _ applyContext) *Rejection {
	vm, rejection := vmAtVersion(next, c.VM, c.Expected)
	if rejection != nil {
		return rejection
	}
	if vm.Available() {
		return rejectf(ReasonStep, "VM %s is in service; drain it first", c.VM)
	}
	next.replaceVM(vm, nil)
	return nil
}

// vmAtVersion returns the VM if it is at the expected version.
func vmAtVersion(s *State, id string, expected uint64) (*VM, *Rejection) {
	vm, ok := s.VMs.Get(id)
	if !ok {
		return nil, rejectf(ReasonNotFound, "VM %s is not registered", id)
	}
	if vm.Version != expected {
		return nil, rejectf(ReasonVersion, "VM %s is at version %d, not %d", id, vm.Version, expected)
	}
	return vm, nil
}

// vmCommands are the commands that change VMs and zone budgets.
var vmCommands = map[Kind]newCommand{
	KindVMAdd:        func() Command { return &VMAdd{} },
	KindVMRemove:     func() Command { return &VMRemove{} },
	KindVMMove:       func() Command { return &VMMove{} },
	KindVMDrain:      func() Command { return &VMDrain{} },
	KindVMLend:       func() Command { return &VMLend{} },
	KindVMReboot:     func() Command { return &VMReboot{} },
	KindVMReturn:     func() Command { return &VMReturn{} },
	KindVMQuarantine: func() Command { return &VMQuarantine{} },
	KindVMRelease:    func() Command { return &VMRelease{} },
	KindVMFailed:     func() Command { return &VMFailed{} },
	KindVMRecovered:  func() Command { return &VMRecovered{} },
	KindZoneSet:      func() Command { return &ZoneSet{} },
}

// ChangesVMs reports whether records of the kind change VMs.
func ChangesVMs(kind Kind) bool {
	_, ok := vmCommands[kind]
	return ok && kind != KindZoneSet
}
