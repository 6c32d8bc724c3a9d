package dispatch

import "time"

// Request is a caller's request.
type Request struct {
	// Queue is the full name, workspace and queue joined by a dot.
	Queue string
	// Key is the caller's key, or "" if it showed none.
	Key string
	// Body is the work.
	Body []byte
	// Timeout is the caller's patience, or 0 if it named none.
	Timeout time.Duration
	// IdempotencyKey names the request across repeats, or is "".
	IdempotencyKey string
}
