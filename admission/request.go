package admission

import "time"

// Request holds what the admission of a request depends on.
type Request struct {
	Team string
	// Queue is the full name of the queue.
	Queue string
	// Deadline is when the caller's request times out.
	Deadline time.Time
	// AvoidTarget is a target that has failed the request, or "".
	AvoidTarget string
	// IgnoreMaxWait lets the request wait until its deadline instead of
	// MaxWait.
	IgnoreMaxWait bool
}
