package statemachine

import "slices"

// KindVMLend is the kind of VMLend.
const KindVMLend Kind = "vm_lend"

// VMLend puts an idle spare VM into service in another pool, to which it
// belongs until it is drained and moved home. It needs neither a drain nor a
// disruption budget: a spare pool that no template uses runs no work, so no VM
// becomes unavailable. It is rejected unless the VM is in service in such a
// home pool at the Expected version.
type VMLend struct {
	VM       string `json:"vm"`
	From     string `json:"from"`
	To       string `json:"to"`
	Expected uint64 `json:"expected"`
	// Epoch is the epoch of the maintenance lease.
	Epoch uint64 `json:"epoch"`
}

// Kind implements Command.
func (*VMLend) Kind() Kind { return KindVMLend }

func (c *VMLend) apply(next *State, ctx applyContext) *Rejection {
	vm, rejection := vmUnderMaintenanceLease(next, ctx.writer, c.VM, c.From, c.Expected, c.Epoch)
	if rejection != nil {
		return rejection
	}
	if !vm.Available() || vm.Home != "" {
		return rejectf(ReasonStep, "VM %s is not in service in its home pool", c.VM)
	}
	if !next.LendsVMs(c.From) {
		return rejectf(ReasonStep, "pool %s may run work; drain VM %s first", c.From, c.VM)
	}
	if c.To == "" {
		return rejectf(ReasonInvalid, "the loan of VM %s names no pool", c.VM)
	}
	if rejection := checkMove(next, vm, c.To); rejection != nil {
		return rejection
	}
	lent := *vm
	lent.Pool, lent.Home = c.To, c.From
	next.replaceVM(vm, &lent)
	return nil
}

// LendsVMs reports whether the pool is a spare pool that no template uses.
func (s *State) LendsVMs(name string) bool {
	pool, ok := s.Pools.Get(name)
	if !ok || !pool.Spare {
		return false
	}
	for _, template := range s.Templates.All() {
		if slices.Contains(template.Pools, name) {
			return false
		}
	}
	return true
}
