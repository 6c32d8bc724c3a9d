package fakeworkers

import "time"

// Faults are the switches of one VM.
type Faults struct {
	// Unreachable refuses every connection.
	Unreachable bool
	// TimesOut loses every call after it may have taken effect.
	TimesOut bool
	// RejectStarts refuses every start before it begins.
	RejectStarts bool
	// FailTasks ends every task in failure.
	FailTasks bool
	// StopTasks ends every task as stopped from outside.
	StopTasks bool
	// DropReplies loses the reply of this many tasks after their end.
	DropReplies int
	// MismatchReplies answers a task with the answer of another one.
	MismatchReplies bool
	// TruncateReplies cuts the answer short.
	TruncateReplies bool
	// ReplyDelay delays the reply of a task after its end.
	ReplyDelay time.Duration
	// EmptyTaskList lists no task, as a record that lags does.
	EmptyTaskList bool
}
