package lease

import "time"

// heldLease is a lease that this process holds. It is immutable.
type heldLease struct {
	epoch uint64
	// renewedAt was read before the latest acquisition or renewal was sent.
	renewedAt Reading
}

// valid reports whether the lease has not expired by either clock.
func (h *heldLease) valid(at Reading, ttl time.Duration) bool {
	return h != nil && at.maxElapsed(h.renewedAt) < ttl
}

// renewalDue reports whether the lease should be renewed.
func (h *heldLease) renewalDue(at Reading, interval time.Duration) bool {
	return at.maxElapsed(h.renewedAt) >= interval
}
