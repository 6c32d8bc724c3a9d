package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// room is what the budgets allow, less what the plan has taken already.
type room struct {
	state *statemachine.State
	pools map[string]int
	zones map[string]int
	// serving counts the available VMs of each pool.
	serving map[string]int
}

func newRoom(s *statemachine.State) *room {
	r := &room{state: s, pools: make(map[string]int), zones: make(map[string]int), serving: make(map[string]int)}
	for name := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		r.pools[name] = s.RemainingPoolBudget(name)
		r.serving[name] = usage.VMs - usage.Unavailable
	}
	for name := range s.ZoneUsage.All() {
		r.zones[name] = s.RemainingZoneBudget(name)
	}
	return r
}

// refuse returns why the VM may not drain, or "".
func (r *room) refuse(vm *statemachine.VM) Reason {
	if r.pools[vm.Pool] <= 0 {
		return ReasonPoolBudget
	}
	if r.zones[vm.AvailabilityZone] <= 0 {
		return ReasonZoneBudget
	}
	return ""
}

// take counts the VM as draining.
func (r *room) take(vm *statemachine.VM) {
	r.pools[vm.Pool]--
	r.zones[vm.AvailabilityZone]--
	r.serving[vm.Pool]--
}
