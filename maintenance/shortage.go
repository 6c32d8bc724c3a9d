package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// shortages counts by pool the VMs that are missing below the pool's own size
// less its budget. It is below 0 for a pool that has more. Lent VMs count as
// serving, so a pool is covered once it has been lent as many as are missing.
type shortages map[string]int

func newShortages(s *statemachine.State) shortages {
	out := make(shortages)
	lent := lentByPool(s)
	for name, pool := range s.Pools.All() {
		if pool.Spare {
			continue
		}
		usage, _ := s.PoolUsage.Get(name)
		out[name] = usage.Unavailable - lent[name] - pool.MaxUnavailable
	}
	return out
}

// needs reports whether the pool would be short without one of its VMs.
func (s shortages) needs(pool string) bool {
	return s[pool]+1 > 0
}

// leave counts a lent VM as gone.
func (s shortages) leave(vm *statemachine.VM) {
	if vm.Home != "" {
		s[vm.Pool]++
	}
}

// NeedsSubstitutes reports whether a pool is short and a spare VM could be lent.
func NeedsSubstitutes(s *statemachine.State) bool {
	return spareInService(s) && anyShort(s)
}

func anyShort(s *statemachine.State) bool {
	for _, short := range newShortages(s) {
		if short > 0 {
			return true
		}
	}
	return false
}

func spareInService(s *statemachine.State) bool {
	for name, pool := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		if pool.Spare && usage.VMs > usage.Unavailable {
			return true
		}
	}
	return false
}
