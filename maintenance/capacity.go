package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// capacity is what each pool needs while its VMs are maintained.
type capacity struct {
	policies map[string]Policy
	spare    map[string]bool
	// keepSize tells which pools are lent a spare VM for each of their own that
	// drains. A fleet without spare VMs lends none.
	keepSize map[string]bool
	// need is the number of VMs that stay in service.
	need map[string]int
}

// newCapacity derives each pool's need from its policy and its observed load.
func newCapacity(s *statemachine.State, observed map[string]int) capacity {
	c := capacity{
		policies: policies(s),
		spare:    make(map[string]bool),
		keepSize: make(map[string]bool),
		need:     make(map[string]int),
	}
	lent := lentByPool(s)
	spares := hasSpares(s)
	for name, pool := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		own := usage.VMs - lent[name]
		need, known := observed[name]
		c.spare[name] = pool.Spare
		c.keepSize[name] = spares && !pool.Spare && c.policies[name].KeepSize
		if known && need <= own-pool.MaxUnavailable {
			// The VMs that the budget may take are not needed, so none is lent.
			c.keepSize[name] = false
		}
		switch {
		case c.keepSize[name]:
			c.need[name] = own
		default:
			// A pool that needs all that it has is still maintained, one VM at a time.
			c.need[name] = min(need, own-1)
		}
	}
	return c
}

// lentByPool counts the lent VMs by the pool that they are in.
func lentByPool(s *statemachine.State) map[string]int {
	out := make(map[string]int)
	for id := range s.VMsOnLoan.All() {
		if vm, ok := s.VMs.Get(id); ok {
			out[vm.Pool]++
		}
	}
	return out
}

// hasSpares reports whether the fleet has spare VMs, lent ones included.
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
