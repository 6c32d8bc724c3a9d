package dispatch

import "time"

// OutcomeKind classifies the outcome of a request.
type OutcomeKind string

const (
	// Answered means that the complete answer was received.
	Answered OutcomeKind = "answered"
	// NotRun means that the request did not run and never will.
	NotRun OutcomeKind = "not_run"
	// Failed means that the request ran and failed.
	Failed OutcomeKind = "failed"
	// Unknown means that the request may have run.
	Unknown OutcomeKind = "unknown"
)

// Code is the machine-readable reason of an outcome without an answer.
type Code string

const (
	CodeNoKey              Code = "no_key"
	CodeUnknownKey         Code = "unknown_key"
	CodeForeignQueue       Code = "foreign_queue"
	CodeNoQueue            Code = "no_queue"
	CodeStaleConfiguration Code = "configuration_not_fresh"
	CodeTeamLimit          Code = "team_limit"
	CodeNoCapacity         Code = "no_capacity"
	CodeTimeout            Code = "timeout"
	CodeTaskFailed         Code = "task_failed"
	CodeTaskStopped        Code = "task_stopped"
	CodeReplyLost          Code = "reply_lost"
	CodeBadIdempotencyKey  Code = "bad_idempotency_key"
	CodeKeyOutsideWindow   Code = "key_outside_window"
	CodeKeyReused          Code = "key_reused"
	CodeLogUnavailable     Code = "log_unavailable"
	CodeClaimUnknown       Code = "claim_unknown"
	CodeOrderOpen          Code = "order_open"
	CodeAnswerNotRetained  Code = "answer_not_kept"
	CodeStopping           Code = "stopping"
	CodeWrongClass         Code = "wrong_class"
	CodeNotImplemented     Code = "not_implemented"
)

// Outcome is the outcome of a request.
type Outcome struct {
	Kind OutcomeKind
	Code Code
	// Message is a human-readable sentence.
	Message string
	// RetryAfter is the delay after which a rejected caller may retry, or 0.
	RetryAfter time.Duration
	// Answer is the complete answer of an answered request.
	Answer []byte
	// RequestID is the ID of the request.
	RequestID string
	// Team is the team that the request ran for, or "" if unauthorized.
	Team string
	// VM is the target that the outcome comes from.
	VM string
	// Attempts counts the start requests that were sent.
	Attempts int
}

func notRun(code Code, message string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}
