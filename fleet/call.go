package fleet

import "time"

// CallKind is what a caller wants.
type CallKind int

// Kinds of calls.
const (
	CallOther CallKind = iota
	CallSubmit
	CallState
	CallCancel
)

// Call is one call of a client, as the adapter read it.
type Call struct {
	Kind CallKind
	Host string
	Path string
	// Key is the caller's key; empty for none.
	Key  string
	Body []byte
	// Timeout is how long the caller waits; 0 if it did not say.
	Timeout time.Duration
}

// ReplyKind is how a call was answered.
type ReplyKind int

// Kinds of replies.
const (
	// ReplyAccepted tells that a job is stored, or its cancellation.
	ReplyAccepted ReplyKind = iota
	// ReplyState gives a job's state.
	ReplyState
	// ReplyPending gives the number of a queue's jobs that have not begun.
	ReplyPending
	// ReplyGone tells that there is no such job.
	ReplyGone
	// ReplyNoQueue tells that no queue takes the call.
	ReplyNoQueue
	// ReplyUnauthorized tells that the call's key is not known.
	ReplyUnauthorized
	// ReplyForbidden tells that the job belongs to another team.
	ReplyForbidden
	// ReplyInvalid tells that the call is malformed.
	ReplyInvalid
	// ReplyTooLarge tells that the body is larger than the manifest allows.
	ReplyTooLarge
	// ReplyRejected tells that the job was not accepted and will not run.
	ReplyRejected
	// ReplyUnknown tells that the call may have taken effect.
	ReplyUnknown
)

// String returns the name for logs.
func (k ReplyKind) String() string {
	return [...]string{"accepted", "state", "pending", "gone", "no_queue", "no_key", "forbidden", "bad", "too_large", "not_run", "unknown"}[k]
}

// Reply is the answer to a call.
type Reply struct {
	Kind ReplyKind
	// State goes with ReplyState.
	State string
	// Pending goes with ReplyPending.
	Pending int
	// RetryAfter tells when to come back; 0 for no advice.
	RetryAfter time.Duration
	// Message says what is wrong, for people.
	Message string
	// Close asks the client to use another connection next time.
	Close bool
}
