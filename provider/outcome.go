package provider

// Outcome tells whether a failed call can have taken effect.
type Outcome string

const (
	// Refused means that the call did not take effect and never will.
	Refused Outcome = "refused"
	// Unknown means that the call may have taken effect.
	Unknown Outcome = "unknown"
	// Failed means that the call took effect and failed.
	Failed Outcome = "failed"
)

// Code is the machine-readable reason of a failure.
type Code string

const (
	// CodeUnreachable means that no connection could be made.
	CodeUnreachable Code = "unreachable"
	// CodeTimeout means that no complete reply arrived in time.
	CodeTimeout Code = "timeout"
	// CodeUnavailable means that the service reports itself unavailable.
	CodeUnavailable Code = "unavailable"
	// CodeRateLimited means that the service's rate limit was exceeded.
	CodeRateLimited Code = "rate_limited"
	// CodeTrimmed means that the offset is older than the oldest retained
	// record.
	CodeTrimmed Code = "trimmed"
	// CodeFull means that the worker has no free slot or connection.
	CodeFull Code = "full"
	// CodeDraining means that the worker accepts no new tasks.
	CodeDraining Code = "draining"
	// CodeLeaseExpired means that the lease expired before the call arrived.
	CodeLeaseExpired Code = "lease_lapsed"
	// CodeNotFound means that the VM or the task is not known.
	CodeNotFound Code = "not_found"
	// CodeTaskFailed means that the task ran and reported a failure.
	CodeTaskFailed Code = "task_failed"
	// CodeTaskStopped means that the task was stopped or checkpointed.
	CodeTaskStopped Code = "task_stopped"
	// CodeMismatch means that the reply belongs to another request or attempt.
	CodeMismatch Code = "mismatch"
	// CodeTruncated means that the reply is shorter than announced.
	CodeTruncated Code = "truncated"
	// CodeInvalid means that the call itself is malformed.
	CodeInvalid Code = "invalid"
	// CodeFenced means that a holder with a higher fencing token has been seen.
	CodeFenced Code = "fenced"
	// CodeConflict means that the condition of a conditional call did not hold.
	CodeConflict Code = "conflict"
	// CodeSuperseded means that the worker had an equal or later run of the
	// task.
	CodeSuperseded Code = "superseded"
	// CodeDeadlineExceeded means that the request's deadline had passed on
	// arrival.
	CodeDeadlineExceeded Code = "expired"
	// CodeInsufficientCapacity means that the task does not fit on the worker.
	CodeInsufficientCapacity Code = "no_room"
	// CodeWrongIncarnation means that the call reached another incarnation of
	// the worker.
	CodeWrongIncarnation Code = "other_life"
	// CodeReplaced means that another incarnation of the worker answers than the
	// call is for. Nothing of the call was sent.
	CodeReplaced Code = "replaced"
	// CodeNoTicket means that the policy's ticket is missing or has expired.
	CodeNoTicket Code = "no_ticket"
	// CodeBusy means that the VM is not running, or is draining.
	CodeBusy Code = "busy"
	// CodeNotInWave means that the VM does not belong to the wave.
	CodeNotInWave Code = "not_in_wave"
)
