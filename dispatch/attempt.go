package dispatch

import "github.com/anvilcourse/anvilcourse/provider"

// AttemptEnd tells how one start ended, as far as the entry knows.
type AttemptEnd string

const (
	// AttemptRefused means that the target said that the task did not begin, or
	// that the start never left this entry.
	AttemptRefused AttemptEnd = "refused"
	// AttemptAnswered means that the whole answer came.
	AttemptAnswered AttemptEnd = "answered"
	// AttemptFailed means that the task ran and reported a failure.
	AttemptFailed AttemptEnd = "failed"
	// AttemptStopped means that the task ran and was stopped from outside.
	AttemptStopped AttemptEnd = "stopped"
	// AttemptUnknown means that the task may have begun.
	AttemptUnknown AttemptEnd = "unknown"
)

// endOf classifies the error of a start. No error means a whole answer, and an
// error that proves nothing means that the task may have begun.
func endOf(err error) AttemptEnd {
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

// MayHaveBegun reports whether the target may have begun the task.
func (e AttemptEnd) MayHaveBegun() bool {
	return e != AttemptRefused
}

// Outcome returns the kind of outcome of a request whose only start ended so.
func (e AttemptEnd) Outcome() Kind {
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
