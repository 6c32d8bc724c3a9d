package placement

import (
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// LeasedSlot is a slot lease held by this entry.
type LeasedSlot struct {
	Target *Target
	// LeaseID is the lease's ID at the VM.
	LeaseID string
	// ExpiresAt is when the lease may expire, by this entry's clock. It is
	// counted from before the request for the lease.
	ExpiresAt time.Time
	// RequestedAt is when the lease was requested.
	RequestedAt time.Time
	// Record identifies the VM's task record at the grant.
	Record string
	// Started is the number of tasks that the VM had started at the grant.
	Started uint64
	// Holder is whose allotment the task uses. The caller that starts the task
	// sets it.
	Holder string
	// Queue is the queue of the task that uses the lease, or "".
	Queue string
	// AssignedAt is when the lease was assigned to the task.
	AssignedAt time.Time
}

// Valid reports whether a start that is sent now arrives before expiry.
func (slot *LeasedSlot) Valid(now time.Time) bool {
	return slot.valid(now)
}

// newLeasedSlot returns the lease that was requested at the given time.
func newLeasedSlot(target *Target, lease provider.SlotLease, sent time.Time) *LeasedSlot {
	return &LeasedSlot{
		Target: target, LeaseID: lease.ID, RequestedAt: sent, ExpiresAt: sent.Add(lease.TTL - leaseMargin),
		Record: lease.RecordID, Started: lease.TasksStarted,
	}
}

// valid reports whether a start that is sent now arrives before expiry. It
// compares wall and monotonic clocks: the latter stops while a VM is suspended.
func (slot *LeasedSlot) valid(now time.Time) bool {
	return now.Before(slot.ExpiresAt) && now.Round(0).Before(slot.ExpiresAt.Round(0)) && slot.Target.usable(now)
}
