package fakelog

import "time"

// Faults are the switches of a Log.
type Faults struct {
	// Unavailable refuses every call.
	Unavailable bool
	// Disconnected refuses every call of the named clients.
	Disconnected []string
	// Delay delays every call by the log's clock.
	Delay time.Duration
	// RateLimitAppends refuses this many appends as over the rate.
	RateLimitAppends int
	// DropReplies drops the reply of this many appends after the write.
	DropReplies int
	// DropAppends drops this many appends before the write.
	DropAppends int
	// HoldAppends keeps this many appends back until Release, and drops their
	// replies.
	HoldAppends int
}

// take counts a switch down and reports whether it was on.
func take(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
