package dispatch

import "github.com/anvilcourse/anvilcourse/provider"

// AttemptOutcome is the outcome of one start request, as known to this entry.
type AttemptOutcome string

const (
	// AttemptRefused means that the target rejected the task before starting
	// it, or that the request was never sent.
	AttemptRefused AttemptOutcome = "refused"
	// AttemptAnswered means that the complete answer was received.
	AttemptAnswered AttemptOutcome = "answered"
	// AttemptFailed means that the task ran and reported a failure.
	AttemptFailed AttemptOutcome = "failed"
	// AttemptStopped means that the task ran and was stopped externally.
	AttemptStopped AttemptOutcome = "stopped"
	// AttemptUnknown means that the task may have started.
	AttemptUnknown AttemptOutcome = "unknown"
)

// classifyAttempt classifies the error of a start request. An error that proves
// nothing means that the task may have started.
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

// MayHaveStarted reports whether the target may have started the task.
func (o AttemptOutcome) MayHaveStarted() bool {
	return o != AttemptRefused
}

// RequestKind returns the outcome kind of a request with this single attempt.
func (o AttemptOutcome) RequestKind() OutcomeKind {
	switch o {
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
