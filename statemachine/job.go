package statemachine

import (
	"slices"
)

const (
	// JobRetention is the time for which a finished job is retained.
	JobRetention = 2 * ClaimWindow
	// MaxJobBodyBytes bounds the body of a job, in bytes.
	MaxJobBodyBytes = 256 << 10
	// MaxFailedTargets is the number of distinct targets on which an idempotent
	// job may fail before it ends as failed, if its owner gives no verdict.
	MaxFailedTargets = 3
	// MaxJobFailures bounds the failures reported by targets, distinct or not, if
	// the job's owner gives no verdict.
	MaxJobFailures = 10
	// MaxInconclusiveFailures bounds the failures under an inconclusive verdict.
	MaxInconclusiveFailures = 30
)

// JobState is the state of a job.
type JobState string

const (
	// JobQueued means that the job waits for its next start.
	JobQueued JobState = "queued"
	// JobRunning means that a start is claimed and may have been sent.
	JobRunning JobState = "running"
	// JobDone means that the job ran and returned an answer.
	JobDone JobState = "done"
	// JobFailed means that the job finished without an answer.
	JobFailed JobState = "failed"
	// JobUnknown means that a job that runs at most once may have run.
	JobUnknown JobState = "unknown"
	// JobCancelled means that the job was cancelled before it finished.
	JobCancelled JobState = "cancelled"
)

// Finished reports whether the state is terminal.
func (s JobState) Finished() bool {
	return s != JobQueued && s != JobRunning
}

// Job is a unit of work that is accepted first and polled for its result.
type Job struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	// Pools are the pools on which the job may run.
	Pools []string `json:"pools"`
	// Idempotent jobs may run again after a start that may have taken effect.
	Idempotent bool   `json:"idempotent"`
	Body       []byte `json:"body,omitempty"`
	// BodyHash is the hash of the queue and the body.
	BodyHash string `json:"body_hash"`

	State JobState `json:"state"`
	// Owner is the entry incarnation that executes the job.
	Owner string `json:"owner"`
	// Epoch counts the owners, from 1. Records of an earlier one are rejected.
	Epoch int `json:"epoch"`
	// Attempt counts the starts, from 1.
	Attempt int `json:"attempt"`
	// Slot is the slot lease of the latest claimed start.
	Slot SlotLease `json:"start"`
	// Checkpoint is the saved progress of the last start that was stopped.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Stops counts the starts that were stopped externally.
	Stops int `json:"stops,omitempty"`
	// FailedOn lists the distinct targets on which the job failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// Failures counts the failures that targets reported.
	Failures int `json:"failures,omitempty"`
	// CancelRequested makes the owner stop the job.
	CancelRequested bool   `json:"cancel_asked,omitempty"`
	Answer          []byte `json:"answer,omitempty"`
	Message         string `json:"message,omitempty"`
	// Reason classifies the failure of a failed job.
	Reason JobFailureReason `json:"reason,omitempty"`
}

// SlotLease is the slot lease that a start is bound to.
type SlotLease struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	Lease   string `json:"lease"`
	// Record and Started are the VM's position when the lease was granted.
	Record  string `json:"record"`
	Started uint64 `json:"started"`
}

// finish moves the job to a terminal state.
func (j *Job) finish(state JobState, message string) {
	j.State, j.Message, j.Body, j.Checkpoint = state, message, nil, ""
}

// handleStopped updates the job after a start was stopped externally.
func (j *Job) handleStopped(checkpoint string) {
	j.Stops++
	switch {
	case j.CancelRequested:
		j.finish(JobCancelled, "cancelled while it ran")
	case !j.Idempotent:
		j.finish(JobFailed, "stopped before its end, and not started again")
	default:
		j.State = JobQueued
		j.Checkpoint = checkpoint
	}
}

// handleFailure updates the job after a failure that its target reported.
func (j *Job) handleFailure(message string, verdict JobVerdict) {
	if !slices.Contains(j.FailedOn, j.Slot.Target) {
		j.FailedOn = append(slices.Clone(j.FailedOn), j.Slot.Target)
	}
	j.Failures++
	if j.Idempotent && j.mayRetry(verdict) && !j.CancelRequested {
		j.State = JobQueued
		return
	}
	j.finish(JobFailed, message)
	j.Reason = j.failureReason(verdict)
}

// mayRetry reports whether the failures so far permit another start.
func (j *Job) mayRetry(verdict JobVerdict) bool {
	switch verdict {
	case JobVerdictImpossible, JobVerdictAnswerTooLarge:
		return false
	case JobVerdictInconclusive:
		return j.Failures < MaxInconclusiveFailures
	default:
		return len(j.FailedOn) < MaxFailedTargets && j.Failures < MaxJobFailures
	}
}

func (j *Job) failureReason(verdict JobVerdict) JobFailureReason {
	switch {
	case verdict == JobVerdictAnswerTooLarge:
		return JobAnswerTooLarge
	case !j.Idempotent:
		return JobNotRetried
	case verdict == JobVerdictImpossible:
		return JobImpossible
	case j.CancelRequested:
		return ""
	default:
		return JobAttemptsExhausted
	}
}

// handleLost updates the job after a start without a known outcome.
func (j *Job) handleLost(message string) {
	switch {
	case !j.Idempotent:
		j.finish(JobUnknown, message)
	case j.CancelRequested:
		j.finish(JobCancelled, "cancelled while its target could not be asked")
	default:
		j.State = JobQueued
	}
}

// handleReleased updates the job after a start that did not run.
func (j *Job) handleReleased() {
	if j.CancelRequested {
		j.finish(JobCancelled, "cancelled before it ran")
		return
	}
	j.State = JobQueued
}
