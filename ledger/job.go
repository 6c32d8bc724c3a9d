package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// Job is what the ledger holds of one job.
type Job struct {
	// Submission is nil while only a cancellation is known.
	Submission *fleet.Submission
	// submissionBytes is what the submission takes until the job has ended.
	submissionBytes int64
	Cancelled       bool
	Result          Result
	// Tasks holds the stored assignments. Those of a finished job are deleted after its
	// result is stored; a leader deletes what the one before has left.
	Tasks map[fleet.TaskID]Assignment
	// FinishedBefore is the first occurrence that may not have finished; see
	// ScheduleProgress.
	FinishedBefore int
	// Started is set once a run of a task is known to have begun. An assignment alone may
	// be refused.
	Started bool
	// Streams is the set of entries' streams with records of the job.
	Streams StreamSet
	// FinishedAtMillis is when the job was cancelled or finished; 0 for neither.
	FinishedAtMillis int64
}

// HasProgress reports whether a leader has stored progress of the job that has not finished.
func (j *Job) HasProgress() bool { return len(j.Tasks) > 0 || j.FinishedBefore > 0 }

// State is a job's state as clients see it.
type State string

// States of a job.
const (
	StateUnknown   State = ""
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// State returns the job's state.
func (j *Job) State() State {
	switch {
	case j.Result.Outcome == OutcomeCompleted:
		return StateCompleted
	case j.Result.Outcome == OutcomeFailed:
		return StateFailed
	case j.Cancelled || j.Result.Outcome == OutcomeCancelled:
		return StateCancelled
	case j.Submission == nil:
		return StateUnknown
	case j.Started:
		return StateRunning
	default:
		return StateQueued
	}
}
