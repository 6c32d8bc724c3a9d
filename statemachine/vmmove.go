package statemachine

// KindVMMove is the kind of VMMove.
const KindVMMove Kind = "vm_move"

// VMMove ends a drain by moving the VM to the pool that the drain has named.
// The writer has observed the VM without tasks. It is rejected unless the VM is
// draining in From at the Expected version. The VM is in service in the new
// pool at once.
type VMMove struct {
	VM       string `json:"vm"`
	From     string `json:"from"`
	To       string `json:"to"`
	Expected uint64 `json:"expected"`
	// Epoch is the epoch of the maintenance lease.
	Epoch uint64 `json:"epoch"`
}

// Kind implements Command.
func (*VMMove) Kind() Kind { return KindVMMove }

func (c *VMMove) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmUnderMaintenanceLease(next, ctx.writer, c.VM, c.From, c.Expected, c.Epoch)
	if rejection != nil {
		return rejection
	}
	if vm.Maintenance.Step != StepDraining || vm.Maintenance.MoveTo != c.To || c.To == "" {
		return rejectf(ReasonStep, "VM %s is not draining for a move to pool %s", c.VM, c.To)
	}
	if vm.Condition != ConditionHealthy {
		return rejectf(ReasonStep, "VM %s is %s", c.VM, vm.Condition)
	}
	if rejection := checkMove(next, vm, c.To); rejection != nil {
		return rejection
	}
	moved := *vm
	moved.Pool = c.To
	moved.Home = homePoolAfterMove(next, vm, c.To)
	moved.Maintenance = Maintenance{}
	next.replaceVM(vm, &moved)
	return nil
}

// vmUnderMaintenanceLease returns the VM if it is in the pool at the expected
// version and the writer holds the maintenance lease at the epoch.
func vmUnderMaintenanceLease(s *State, writer, id, pool string, expected, epoch uint64) (*VM, *Rejection) {
	vm, rejection := vmAtVersion(s, id, expected)
	if rejection != nil {
		return nil, rejection
	}
	if rejection := checkMaintenanceEpoch(s, writer, epoch); rejection != nil {
		return nil, rejection
	}
	if vm.Pool != pool {
		return nil, rejectf(ReasonVersion, "VM %s is in pool %s, not %s", id, vm.Pool, pool)
	}
	return vm, nil
}

// homePoolAfterMove returns the home pool of a VM after a move, or empty if it
// is not on loan. A wave lends VMs of spare pools; an operator's move is
// permanent.
func homePoolAfterMove(s *State, vm *VM, to string) string {
	if vm.Home == to || vm.Maintenance.Wave == "" {
		return ""
	}
	if vm.Home != "" {
		return vm.Home
	}
	if from, ok := s.Pools.Get(vm.Pool); ok && from.Spare {
		return vm.Pool
	}
	return ""
}

// checkMove rejects a move to the same or an unknown pool, or one that takes
// the VM's pool below its minimum size.
func checkMove(s *State, vm *VM, to string) *Rejection {
	if to == "" {
		return nil
	}
	if to == vm.Pool {
		return rejectf(ReasonInvalid, "VM %s is already in pool %s", vm.ID, to)
	}
	if _, ok := s.Pools.Get(to); !ok {
		return rejectf(ReasonNotFound, "pool %s does not exist", to)
	}
	pool, _ := s.Pools.Get(vm.Pool)
	usage, _ := s.PoolUsage.Get(vm.Pool)
	if pool != nil && usage.VMs <= pool.MinVMs {
		return rejectf(ReasonBudget, "pool %s must keep at least %d VMs", vm.Pool, pool.MinVMs)
	}
	return nil
}
