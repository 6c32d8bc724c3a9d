package sizing

import "github.com/anvilcourse/anvilcourse/statemachine"

// PoolSize counts a pool's VMs and slots.
type PoolSize struct {
	// VMs counts the pool's VMs, including VMs on loan.
	VMs int
	// InService counts the VMs that may take new tasks.
	InService int
	// Slots counts the slots of all VMs of the pool.
	Slots int
	// HealthySlots counts the slots of the VMs that have neither failed nor are
	// in quarantine, including those under maintenance.
	HealthySlots int
	// Spare reports whether the pool lends its VMs to others.
	Spare bool
}

// slotsPerVM is the mean number of slots of the pool's VMs.
func (s PoolSize) slotsPerVM() float64 {
	if s.VMs == 0 {
		return 0
	}
	return float64(s.Slots) / float64(s.VMs)
}

// PoolSizes returns the size of each pool.
func PoolSizes(s *statemachine.State) map[string]PoolSize {
	out := make(map[string]PoolSize)
	for name, pool := range s.Pools.All() {
		usage, _ := s.PoolUsage.Get(name)
		out[name] = PoolSize{VMs: usage.VMs, InService: usage.VMs - usage.Unavailable, Spare: pool.Spare}
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
