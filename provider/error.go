package provider

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is the failure of one call to the platform.
type Error struct {
	// Op is the name of the call, such as "log.append".
	Op string
	// Outcome tells whether the call can have taken effect.
	Outcome Outcome
	// Code is the machine-readable reason, if one is known.
	Code Code
	// Message describes the failure for people.
	Message string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s): %s", e.Op, e.Code, e.Outcome, e.Message)
}

// OutcomeOf returns the outcome of a failed call. An error of another type
// gives no evidence about the call, so it counts as Unknown.
func OutcomeOf(err error) Outcome {
	var perr *Error
	if errors.As(err, &perr) {
		return perr.Outcome
	}
	return Unknown
}

// CodeOf returns the reason of a failed call, or "" if it carries none.
func CodeOf(err error) Code {
	var perr *Error
	if errors.As(err, &perr) {
		return perr.Code
	}
	return ""
}
