package placement

import (
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// LeasedSlot is a slot lease that this entry holds.
type LeasedSlot struct {
	Target *Target
	// LeaseID is the lease's ID at the VM.
	LeaseID string
	// ExpiresAt is when the lease may lapse, by this entry's clock. It is counted
	// from before the lease was asked for.
	ExpiresAt time.Time
	// RequestedAt is when the lease was asked for.
	RequestedAt time.Time
	// Record names the VM's record of tasks at the grant.
	Record string
	// Started is the number of tasks that the VM had started at the grant.
	Started uint64
	// Holder is whose allotment the start uses. The caller that starts a task
	// sets it.
	Holder string
	// Queue is the queue of the task that the lease was taken for, or "".
	Queue string
	// AssignedAt is when the lease was taken for it.
	AssignedAt time.Time
}

// Valid reports whether a start that is sent now arrives under the lease.
func (h *LeasedSlot) Valid(now time.Time) bool {
	return h.valid(now)
}

// newLeasedSlot returns the lease that was asked for at the given time.
func newLeasedSlot(target *Target, lease provider.SlotLease, sent time.Time) *LeasedSlot {
	return &LeasedSlot{
		Target: target, LeaseID: lease.ID, RequestedAt: sent, ExpiresAt: sent.Add(lease.TTL - leaseMargin),
		Record: lease.Record, Started: lease.Started,
	}
}

// valid reports whether a start that is sent now arrives under the lease. It
// compares wall and monotonic clocks: the latter stops while a VM is
// suspended.
func (h *LeasedSlot) valid(now time.Time) bool {
	return now.Before(h.ExpiresAt) && now.Round(0).Before(h.ExpiresAt.Round(0)) && h.Target.usable(now)
}
