package fakelog

import "time"

// Faults are the switches of a Log.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Cut refuses every call of the named clients.
	Cut []string
	// Slow delays every call by the log's clock.
	Slow time.Duration
	// RateLimit refuses this many appends as over the rate.
	RateLimit int
	// LoseReplies drops the reply of this many appends after the write.
	LoseReplies int
	// LoseAppends drops this many appends before the write.
	LoseAppends int
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
