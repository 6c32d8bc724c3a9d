package sizing

import "github.com/anvilcourse/anvilcourse/statemachine"

// Size is how large a pool is.
type Size struct {
	// VMs counts the pool's VMs, lent ones included.
	VMs int
	// Serving counts those of them that may take new work.
	Serving int
	// Slots counts the slots of all VMs of the pool.
	Slots int
	// HealthySlots counts those of the VMs that have neither failed nor are in
	// quarantine, under maintenance or not.
	HealthySlots int
	// Spare tells whether the pool lends its VMs to others.
	Spare bool
}

// slotsPerVM is the mean number of slots of the pool's VMs.
func (s Size) slotsPerVM() float64 {
	if s.VMs == 0 {
		return 0
	}
	return float64(s.Slots) / float64(s.VMs)
}

// SizesOf returns the size of each pool.
func SizesOf(s *statemachine.State) map[string]Size {
	out := make(map[string]Size)
	for name, pool := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		out[name] = Size{VMs: usage.VMs, Serving: usage.VMs - usage.Unavailable, Spare: pool.Spare}
	}
	for _, vm := range s.VMs.All() {
		size := out[vm.Pool]
		size.Slots += vm.Slots
		if vm.Condition == statemachine.ConditionHealthy && vm.Quarantine == nil {
			size.HealthySlots += vm.Slots
		}
		out[vm.Pool] = size
	}
	return out
}
