package admission

import (
	"sync/atomic"
	"time"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	Request
	// Ready receives the one decision on the waiter.
	Ready chan Decision
	// TeamAtLimit is set by the caller of Line.Next while the team's upper limit
	// is what the waiter waits for.
	TeamAtLimit atomic.Bool

	enqueuedAt time.Time
	decided    bool
}

// Decision ends a wait.
type Decision struct {
	// Slot is the slot to use, of the type that the caller of Line.Next hands
	// over, or nil for a refusal.
	Slot any
	// Refusal says why there is none.
	Refusal Refusal
}

// Assign gives the slot to a waiter that Next returned. It does not block.
func (w *Waiter) Assign(slot any) {
	w.Ready <- Decision{Slot: slot}
}
