package scheduler

import "time"

// donor returns a VM that can be moved to the pool, or nil: one of a pool with a
// surplus, or one that is switched off.
func (s *Scheduler) donor(to string, now time.Time) *vm {
	var best *vm
	for _, p := range s.pools {
		if p.name == to || !s.isSpare(p.name) && p.surplus() == 0 {
			continue
		}
		for _, v := range p.vms {
			if !s.movable(v, now) {
				continue
			}
			if best == nil || s.preferredDonor(v, best) {
				best = v
			}
		}
	}
	return best
}

// preferredDonor prefers VMs that are idle to those that are switched off, then those
// that have been empty for longer.
func (s *Scheduler) preferredDonor(a, b *vm) bool {
	if spareA, spareB := s.isSpare(a.info.Pool), s.isSpare(b.info.Pool); spareA != spareB {
		return spareB
	}
	if !a.emptySince.Equal(b.emptySince) {
		return a.emptySince.Before(b.emptySince)
	}
	return a.info.Name < b.info.Name
}

// movable reports whether the VM is up and empty, has no operation pending, and is in a zone
// where tasks may start.
func (s *Scheduler) movable(v *vm, now time.Time) bool {
	if !s.acceptsOperation(v, now) || v.drainFor != VMNoOperation || v.emptySince.IsZero() || s.evacuatedVM(v) {
		return false
	}
	if w := s.workerOf(v); w != nil && (w.info.Draining || !w.polled || w.missedPolls > 0) {
		return false
	}
	return s.isSpare(v.info.Pool) || now.Sub(v.emptySince) >= idleBeforeMove
}
