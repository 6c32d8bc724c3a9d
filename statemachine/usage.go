package statemachine

// Usage counts the VMs of a pool or of an availability zone. The reducer
// updates it incrementally, so that the cost of a record does not grow with the
// fleet.
type Usage struct {
	VMs int `json:"vms"`
	// Unavailable counts the VMs for which Available is false.
	Unavailable int `json:"unavailable"`
}

// plus returns the usage with the VM counted n times more.
func (u Usage) plus(vm *VM, n int) Usage {
	u.VMs += n
	if !vm.Available() {
		u.Unavailable += n
	}
	return u
}

// replaceVM replaces current by next. Either may be nil, for a VM that is added
// or removed. It increments the version and updates the usages.
func (s *State) replaceVM(current, next *VM) {
	if current != nil {
		s.countVM(current, -1)
	}
	if next == nil {
		s.VMs = s.VMs.Delete(current.ID)
		s.UnderMaintenance = s.UnderMaintenance.Delete(current.ID)
		s.VMsOnLoan = s.VMsOnLoan.Delete(current.ID)
		s.Quarantined = s.Quarantined.Delete(current.ID)
		return
	}
	next.Version++
	s.countVM(next, 1)
	s.VMs = s.VMs.Set(next.ID, next)
	s.UnderMaintenance = updateIndex(s.UnderMaintenance, next.ID, next.Maintenance.Step != StepServing)
	s.VMsOnLoan = updateIndex(s.VMsOnLoan, next.ID, next.Home != "")
	s.Quarantined = updateIndex(s.Quarantined, next.ID, next.Quarantine != nil || next.ReleasedMS > 0)
}

// updateIndex returns the index with or without the ID.
func updateIndex(index Table[bool], id string, member bool) Table[bool] {
	if _, ok := index.Get(id); ok == member {
		return index
	}
	if member {
		return index.Set(id, true)
	}
	return index.Delete(id)
}

// countVM adds the VM n times to the usages of its pool and zone.
func (s *State) countVM(vm *VM, n int) {
	pool, _ := s.PoolUsage.Get(vm.Pool)
	s.PoolUsage = s.PoolUsage.Set(vm.Pool, pool.plus(vm, n))
	zone, _ := s.ZoneUsage.Get(vm.AvailabilityZone)
	s.ZoneUsage = s.ZoneUsage.Set(vm.AvailabilityZone, zone.plus(vm, n))
}
