package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// remainingBudget is what the disruption budgets allow beyond the plan so far.
type remainingBudget struct {
	state *statemachine.State
	pools map[string]int
	zones map[string]int
	// inService counts the available VMs of each pool.
	inService map[string]int
}

func newRemainingBudget(s *statemachine.State) *remainingBudget {
	r := &remainingBudget{state: s, pools: make(map[string]int), zones: make(map[string]int), inService: make(map[string]int)}
	for name := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		r.pools[name] = s.RemainingPoolBudget(name)
		r.inService[name] = usage.VMs - usage.Unavailable
	}
	for name := range s.ZoneUsage.All() {
		r.zones[name] = s.RemainingZoneBudget(name)
	}
	return r
}

// blockingReason returns why the budgets forbid a drain of the VM, or "".
func (r *remainingBudget) blockingReason(vm *statemachine.VM) Reason {
	if r.pools[vm.Pool] <= 0 {
		return ReasonPoolBudget
	}
	if r.zones[vm.AvailabilityZone] <= 0 {
		return ReasonZoneBudget
	}
	return ""
}

// reserve counts the VM as draining.
func (r *remainingBudget) reserve(vm *statemachine.VM) {
	r.pools[vm.Pool]--
	r.zones[vm.AvailabilityZone]--
	r.inService[vm.Pool]--
}
