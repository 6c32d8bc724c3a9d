package statemachine

// defaultZoneDivisor is the part of a zone's VMs that may be unavailable at
// once if no ZoneSet names a number: one in defaultZoneDivisor, rounded up.
const defaultZoneDivisor = 4

// RemainingPoolBudget returns the number of VMs of the pool that may still become
// unavailable. It is below 0 after failures beyond the budget.
func (s *State) RemainingPoolBudget(name string) int {
	pool, ok := s.Pools.Get(name)
	if !ok {
		return 0
	}
	usage, _ := s.PoolUsage.Get(name)
	return pool.MaxUnavailable - usage.Unavailable
}

// RemainingZoneBudget returns the number of VMs of the availability zone that may still
// become unavailable. It is below 0 after failures beyond the budget.
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

// checkBudgets refuses to make one more of the VM's pool and zone unavailable
// when a budget has no room for it.
func checkBudgets(s *State, vm *VM) *Rejection {
	if s.RemainingPoolBudget(vm.Pool) <= 0 {
		return rejectf(ReasonBudget, "pool %s has no more VMs to spare", vm.Pool)
	}
	if s.RemainingZoneBudget(vm.AvailabilityZone) <= 0 {
		return rejectf(ReasonBudget, "availability zone %s has no more VMs to spare", vm.AvailabilityZone)
	}
	return nil
}
