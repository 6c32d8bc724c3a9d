package admission

import "time"

// Reason says why a request is not admitted.
type Reason string

const (
	// ReasonQueueFull means that the team has as many requests waiting as may.
	ReasonQueueFull Reason = "line_full"
	// ReasonTooLate means that the caller could not be answered in time.
	ReasonTooLate Reason = "too_late"
)

// Refusal is a request that is not admitted. Nothing of it has begun.
type Refusal struct {
	Reason Reason
	// RetryAfter is the estimated time until there is room.
	RetryAfter time.Duration
}
