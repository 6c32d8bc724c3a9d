package admission

import "time"

// Request is what the admission of a request depends on.
type Request struct {
	Team string
	// Queue is the full name of the queue.
	Queue string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// AvoidTarget is a target that has failed the request, or "".
	AvoidTarget string
	// IgnoreMaxWait lets the request wait for as long as its caller does, and not
	// only for the line's MaxWait.
	IgnoreMaxWait bool
}
