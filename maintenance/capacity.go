package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// capacity is what each pool requires while its VMs are maintained.
type capacity struct {
	policies map[string]Policy
	spare    map[string]bool
	// keepSize holds the pools that are lent a spare VM while one of their own
	// drains. A fleet without spare VMs lends none.
	keepSize map[string]bool
	// required is the number of VMs that stay in service.
	required map[string]int
}

// newCapacity derives the pools' requirements from policy and observed load.
func newCapacity(s *statemachine.State, observed map[string]int) capacity {
	c := capacity{
		policies: policies(s),
		spare:    make(map[string]bool),
		keepSize: make(map[string]bool),
		required: make(map[string]int),
	}
	lent := lentByPool(s)
	spares := hasSpares(s)
	for name, pool := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		own := usage.VMs - lent[name]
		required, known := observed[name]
		c.spare[name] = pool.Spare
		c.keepSize[name] = spares && !pool.Spare && c.policies[name].KeepSize
		if known && required <= own-pool.MaxUnavailable {
			// The VMs that the budget lets drain are not needed, so none is lent.
			c.keepSize[name] = false
		}
		switch {
		case c.keepSize[name]:
			c.required[name] = own
		default:
			// A pool that needs all of its VMs is still maintained, one VM at a time.
			c.required[name] = min(required, own-1)
		}
	}
	return c
}

// lentByPool counts the VMs on loan by the pool that they are in.
func lentByPool(s *statemachine.State) map[string]int {
	out := make(map[string]int)
	for id := range s.VMsOnLoan.All() {
		if vm, ok := s.VMs.Get(id); ok {
			out[vm.Pool]++
		}
	}
	return out
}

// hasSpares reports whether the fleet has spare VMs, including those on loan.
func hasSpares(s *statemachine.State) bool {
	if s.VMsOnLoan.Len() > 0 {
		return true
	}
	for name, pool := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		if pool.Spare && usage.VMs > 0 {
			return true
		}
	}
	return false
}
