package fleet

import "time"

// CallKind is the requested operation.
type CallKind int

const (
	CallOther CallKind = iota
	CallSubmit
	CallState
	CallCancel
)

// Call is one client request, as decoded by the adapter.
type Call struct {
	Kind CallKind
	Host string
	Path string
	// Key is the client's API key; empty for none.
	Key  string
	Body []byte
	// Timeout is how long the client waits; 0 if it sent none.
	Timeout time.Duration
}

// ReplyKind is the result of a call.
type ReplyKind int

const (
	// ReplyAccepted means that the job or its cancellation is stored.
	ReplyAccepted ReplyKind = iota
	// ReplyState carries a job's state.
	ReplyState
	// ReplyPending carries the number of a queue's jobs that have not started.
	ReplyPending
	// ReplyGone means that there is no such job.
	ReplyGone
	// ReplyNoQueue means that no queue matches the call.
	ReplyNoQueue
	// ReplyUnauthorized means that the call's API key is unknown.
	ReplyUnauthorized
	// ReplyForbidden means that the job belongs to another team.
	ReplyForbidden
	// ReplyInvalid means that the call is malformed.
	ReplyInvalid
	// ReplyTooLarge means that the body is larger than the manifest allows.
	ReplyTooLarge
	// ReplyRejected means that the job was not accepted and will not run.
	ReplyRejected
	// ReplyUnknown means that the call may have taken effect.
	ReplyUnknown
)

// String returns the name for logs.
func (k ReplyKind) String() string {
	return [...]string{"accepted", "state", "pending", "gone", "no_queue", "no_key", "forbidden", "bad", "too_large", "not_run", "unknown"}[k]
}

// Reply is the response to a call.
type Reply struct {
	Kind ReplyKind
	// State is set for ReplyState.
	State string
	// Pending is set for ReplyPending.
	Pending int
	// RetryAfter is the delay before a retry; 0 for none.
	RetryAfter time.Duration
	// Message describes the error for people.
	Message string
	// Close makes the client open a new connection for its next call.
	Close bool
}
