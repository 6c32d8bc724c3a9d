package statemachine

// defaultZoneDivisor sets the default budget of a zone without a ZoneSet: one
// in defaultZoneDivisor of its VMs, rounded up.
const defaultZoneDivisor = 4

// RemainingPoolBudget returns the number of VMs of the pool that may still
// become unavailable. It is negative after failures beyond the budget.
func (s *State) RemainingPoolBudget(name string) int {
	pool, ok := s.Pools.Get(name)
	if !ok {
		return 0
	}
	usage, _ := s.PoolUsage.Get(name)
	return pool.MaxUnavailable - usage.Unavailable
}

// RemainingZoneBudget returns the number of VMs of the availability zone that
// may still become unavailable. It is negative after failures beyond the
// budget.
func (s *State) RemainingZoneBudget(name string) int {
	usage, _ := s.ZoneUsage.Get(name)
	return s.ZoneBudget(name) - usage.Unavailable
}

// ZoneBudget returns the number of the zone's VMs that may be unavailable.
func (s *State) ZoneBudget(name string) int {
	if zone, ok := s.Zones.Get(name); ok {
		return zone.MaxUnavailable
	}
	usage, _ := s.ZoneUsage.Get(name)
	return (usage.VMs + defaultZoneDivisor - 1) / defaultZoneDivisor
}

// checkBudgets rejects making another VM of the pool and zone unavailable when
// either budget is exhausted.
func checkBudgets(s *State, vm *VM) *Rejection {
	if s.RemainingPoolBudget(vm.Pool) <= 0 {
		return rejectf(ReasonBudget, "the disruption budget of pool %s is exhausted", vm.Pool)
	}
	if s.RemainingZoneBudget(vm.AvailabilityZone) <= 0 {
		return rejectf(ReasonBudget, "the disruption budget of availability zone %s is exhausted", vm.AvailabilityZone)
	}
	return nil
}
