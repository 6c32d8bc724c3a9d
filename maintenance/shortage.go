package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// shortages holds by pool how many VMs in service are missing from the pool's
// own size less its budget, negative for a surplus. VMs on loan count as in
// service, so a loan for each missing VM ends the shortage.
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

// wouldBeShort reports whether the pool is short without one of its VMs.
func (s shortages) wouldBeShort(pool string) bool {
	return s[pool]+1 > 0
}

// removeLent counts a VM on loan as removed from its pool.
func (s shortages) removeLent(vm *statemachine.VM) {
	if vm.Home != "" {
		s[vm.Pool]++
	}
}

// NeedsSubstitutes reports whether a pool is short and a spare VM is available.
func NeedsSubstitutes(s *statemachine.State) bool {
	return hasSpareInService(s) && anyPoolShort(s)
}

func anyPoolShort(s *statemachine.State) bool {
	for _, short := range newShortages(s) {
		if short > 0 {
			return true
		}
	}
	return false
}

func hasSpareInService(s *statemachine.State) bool {
	for name, pool := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		if pool.Spare && usage.VMs > usage.Unavailable {
			return true
		}
	}
	return false
}
