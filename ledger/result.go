package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// Outcome is how a job finished.
type Outcome int

// Outcomes of a job.
const (
	OutcomeNone Outcome = iota
	OutcomeCompleted
	OutcomeFailed
	OutcomeCancelled
)

// Result is how and when a job finished.
type Result struct {
	Outcome  Outcome `json:"s"`
	AtMillis int64   `json:"t"`
}

// ResultRecord returns the record of a job's result.
func ResultRecord(job string, r Result) fleet.Record { return record(kindResult, job, r) }
