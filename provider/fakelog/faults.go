package fakelog

import "time"

// Faults are the injected faults of a Log.
type Faults struct {
	// Unavailable refuses every call.
	Unavailable bool
	// Disconnected refuses every call of the named clients.
	Disconnected []string
	// Delay delays every call by the log's clock.
	Delay time.Duration
	// RateLimitAppends refuses this many appends as rate-limited.
	RateLimitAppends int
	// DropReplies drops the reply of this many appends after the write.
	DropReplies int
	// DropAppends drops this many appends before the write.
	DropAppends int
	// HoldAppends delays this many appends until ReleaseAppends, and drops their
	// replies.
	HoldAppends int
}

// consume decrements the count of a fault and reports whether it was positive.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
