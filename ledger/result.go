package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// Outcome is how a job ended.
type Outcome int

// Outcomes of a job.
const (
	OutcomeNone Outcome = iota
	OutcomeCompleted
	OutcomeFailed
	OutcomeCancelled
)

// Result is the end of a job.
type Result struct {
	Outcome  Outcome `json:"s"`
	AtMillis int64   `json:"t"`
}

// ResultRecord returns the record of a job's end.
func ResultRecord(job string, r Result) fleet.Record { return record(kindResult, job, r) }
