package admission

import "time"

// Reason is the reason for which a request is refused.
type Reason string

const (
	// ReasonQueueFull means that the team's queue has reached its limit.
	ReasonQueueFull Reason = "line_full"
	// ReasonTooLate means that the deadline could not be met.
	ReasonTooLate Reason = "too_late"
)

// Refusal is the result of a request that is not admitted and was not started.
type Refusal struct {
	Reason Reason
	// RetryAfter is the estimated time until capacity is available.
	RetryAfter time.Duration
}
