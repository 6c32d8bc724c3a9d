package dispatch

import "github.com/anvilcourse/anvilcourse/provider"

// AttemptOutcome tells how one start ended, as far as the entry knows.
type AttemptOutcome string

const (
	// AttemptRefused means that the target said that the task did not begin, or
	// that the start never left this entry.
	AttemptRefused AttemptOutcome = "refused"
	// AttemptAnswered means that the whole answer came.
	AttemptAnswered AttemptOutcome = "answered"
	// AttemptFailed means that the task ran and reported a failure.
	AttemptFailed AttemptOutcome = "failed"
	// AttemptStopped means that the task ran and was stopped from outside.
	AttemptStopped AttemptOutcome = "stopped"
	// AttemptUnknown means that the task may have begun.
	AttemptUnknown AttemptOutcome = "unknown"
)

// classifyAttempt classifies the error of a start. No error means a whole answer, and an
// error that proves nothing means that the task may have begun.
func classifyAttempt(err error) AttemptOutcome {
	if err == nil {
		return AttemptAnswered
	}
	switch provider.OutcomeOf(err) {
	case provider.Refused:
		return AttemptRefused
	case provider.Failed:
		if provider.CodeOf(err) == provider.CodeTaskStopped {
			return AttemptStopped
		}
		return AttemptFailed
	default:
		return AttemptUnknown
	}
}

// MayHaveStarted reports whether the target may have begun the task.
func (e AttemptOutcome) MayHaveStarted() bool {
	return e != AttemptRefused
}

// RequestKind returns the kind of outcome of a request whose only start ended so.
func (e AttemptOutcome) RequestKind() OutcomeKind {
	switch e {
	case AttemptRefused:
		return NotRun
	case AttemptAnswered:
		return Answered
	case AttemptFailed, AttemptStopped:
		return Failed
	default:
		return Unknown
	}
}
