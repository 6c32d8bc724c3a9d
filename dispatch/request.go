package dispatch

import "time"

// Request is a caller's request.
type Request struct {
	// Queue is the full name: workspace and queue joined by a dot.
	Queue string
	// Key is the caller's API key, or "" for none.
	Key string
	// Body is the task's input.
	Body []byte
	// Timeout is the request timeout, or 0 for the queue's.
	Timeout time.Duration
	// IdempotencyKey identifies repeats of the request, or is "".
	IdempotencyKey string
}
