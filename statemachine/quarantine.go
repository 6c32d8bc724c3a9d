package statemachine

import "time"

const (
	// minQuarantine is the length of a VM's first quarantine. Each further
	// one in a row lasts twice as long, up to longestQuarantine.
	minQuarantine = time.Minute
	maxQuarantine = time.Hour
	// QuarantineResetAfter is the time in service after which an earlier quarantine
	// does not lengthen the next one.
	QuarantineResetAfter = 2 * time.Hour
)

// QuarantineCause says why a VM is in quarantine.
type QuarantineCause string

const (
	// QuarantineJobFailures means that jobs of several teams, or jobs that
	// run elsewhere, fail on the VM.
	QuarantineJobFailures QuarantineCause = "fails_everything"
	// QuarantineByOperator means that an operator has asked for it.
	QuarantineByOperator QuarantineCause = "by_operator"
)

// Quarantine keeps a VM from new work. Its running tasks go on.
type Quarantine struct {
	Cause   QuarantineCause `json:"cause"`
	Message string          `json:"message,omitempty"`
	// SinceMS is the writer's wall clock at the start, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
	// UntilMS is when the VM serves again on trial, in Unix milliseconds, or 0
	// if an operator has to release it.
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Expired reports whether the VM is due to serve again on trial.
func (q *Quarantine) Expired(now time.Time) bool {
	return q.UntilMS > 0 && now.UnixMilli() >= q.UntilMS
}

// quarantineDuration returns the length of the n-th quarantine in a row, from 1.
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
