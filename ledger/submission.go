package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(s fleet.Submission) fleet.Record { return record(kindSubmission, s.ID, s) }

// Cancellation is a client's cancellation of a job.
type Cancellation struct {
	AtMillis int64 `json:"t"`
}

// CancellationRecord returns the record of a cancelled job.
func CancellationRecord(job string, atMillis int64) fleet.Record {
	return record(kindCancellation, job, Cancellation{AtMillis: atMillis})
}

// JobTombstones returns the records that remove a job in the entries' stream and,
// last, its result in the leader's.
func JobTombstones(job string) (submissions []fleet.Record, result fleet.Record) {
	return []fleet.Record{
		{Key: string(rune(kindSubmission)) + job},
		{Key: string(rune(kindCancellation)) + job},
	}, fleet.Record{Key: string(rune(kindResult)) + job}
}
