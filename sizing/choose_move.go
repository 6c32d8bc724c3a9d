package sizing

import "github.com/anvilcourse/anvilcourse/statemachine"

// ChooseMove returns the first of the due moves that may start now and the VM
// to move, or nil. A move waits while a disruption budget is exhausted and
// while the pool needs the VM itself.
func ChooseMove(s *statemachine.State, due []Move, sizes map[string]PoolSize, need map[string]int) (Move, *statemachine.VM) {
	for _, move := range due {
		if !canGiveVM(s, move.From, sizes[move.From], need[move.From]) {
			continue
		}
		if vm := pickVM(s, move.From); vm != nil {
			return move, vm
		}
	}
	return Move{}, nil
}

// BusyPools returns the pools that maintenance of a VM or a wave affects.
func BusyPools(s *statemachine.State) map[string]bool {
	out := make(map[string]bool)
	for id := range s.UnderMaintenance.All() {
		if vm, ok := s.VMs.Get(id); ok {
			out[vm.Pool] = true
			out[vm.Maintenance.MoveTo] = true
		}
	}
	for _, wave := range s.Waves.All() {
		for _, pool := range wave.Pools {
			out[pool] = out[pool] || !wave.State.Finished()
		}
	}
	return out
}

// canGiveVM reports whether the pool can give up a VM permanently.
func canGiveVM(s *statemachine.State, name string, size PoolSize, need int) bool {
	pool, ok := s.Pools.Get(name)
	return ok && size.VMs > pool.MinVMs && size.InService > need && s.RemainingPoolBudget(name) > 0
}

// pickVM returns a VM of the pool in the availability zone with the largest
// number of its VMs in service, or nil. VMs on loan are not moved.
func pickVM(s *statemachine.State, pool string) *statemachine.VM {
	zones := make(map[string]int)
	for _, vm := range s.VMs.All() {
		if vm.Pool == pool && vm.Available() {
			zones[vm.AvailabilityZone]++
		}
	}
	var out *statemachine.VM
	for _, vm := range s.VMs.All() {
		if vm.Pool != pool || !vm.Available() || vm.Home != "" || s.RemainingZoneBudget(vm.AvailabilityZone) <= 0 {
			continue
		}
		if out == nil || zones[vm.AvailabilityZone] > zones[out.AvailabilityZone] {
			out = vm
		}
	}
	return out
}
