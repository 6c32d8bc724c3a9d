package statemachine

import "time"

const (
	// minQuarantine is the duration of a VM's first quarantine. Each further
	// consecutive one lasts twice as long, up to maxQuarantine.
	minQuarantine = time.Minute
	maxQuarantine = time.Hour
	// QuarantineResetAfter is the time in service after which an earlier
	// quarantine does not lengthen the next one.
	QuarantineResetAfter = 2 * time.Hour
)

// QuarantineCause is the reason for a quarantine.
type QuarantineCause string

const (
	// QuarantineJobFailures means that jobs of several teams, or jobs that
	// run elsewhere, fail on the VM.
	QuarantineJobFailures QuarantineCause = "fails_everything"
	// QuarantineByOperator means that an operator has requested it.
	QuarantineByOperator QuarantineCause = "by_operator"
)

// Quarantine excludes a VM from new work. Its running tasks continue.
type Quarantine struct {
	Cause   QuarantineCause `json:"cause"`
	Message string          `json:"message,omitempty"`
	// SinceMS is the writer's wall clock at the start, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
	// UntilMS is when the VM returns to service on probation, in Unix
	// milliseconds, or 0 if an operator has to release it.
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Expired reports whether the VM is due to return to service on probation.
func (q *Quarantine) Expired(now time.Time) bool {
	return q.UntilMS > 0 && now.UnixMilli() >= q.UntilMS
}

// quarantineDuration returns the duration of the n-th consecutive quarantine,
// from 1.
func quarantineDuration(n int) time.Duration {
	length := minQuarantine
	for range n - 1 {
		length = min(2*length, maxQuarantine)
		if length == maxQuarantine {
			break
		}
	}
	return length
}
