package admission

import (
	"sync/atomic"
	"time"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	Request
	// Ready receives the only decision on the waiter.
	Ready chan Decision
	// TeamAtLimit is set by the caller of WaitQueue.Next while the waiter waits
	// because of the team's upper limit.
	TeamAtLimit atomic.Bool

	enqueuedAt time.Time
	decided    bool
}

// Decision ends a wait.
type Decision struct {
	// Slot is the slot to use, of the type that the caller of WaitQueue.Next
	// assigns, or nil for a refusal.
	Slot any
	// Refusal is set if there is no slot.
	Refusal Refusal
}

// Assign assigns the slot to a waiter that Next returned. It does not block.
func (w *Waiter) Assign(slot any) {
	w.Ready <- Decision{Slot: slot}
}
