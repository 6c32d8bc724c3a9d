package fakeworkers

import "time"

// Faults are the injected faults of one VM.
type Faults struct {
	// Unreachable refuses every connection.
	Unreachable bool
	// TimesOut makes every call time out after it may have taken effect.
	TimesOut bool
	// RejectStarts refuses every start.
	RejectStarts bool
	// FailTasks makes every task fail.
	FailTasks bool
	// StopTasks makes every task end as stopped.
	StopTasks bool
	// DropReplies drops the reply of this many tasks after they finish.
	DropReplies int
	// MismatchReplies answers a task with the answer of another one.
	MismatchReplies bool
	// TruncateReplies truncates the answer.
	TruncateReplies bool
	// ReplyDelay delays the reply of a finished task.
	ReplyDelay time.Duration
	// EmptyTaskList returns an empty task list, as a lagging list does.
	EmptyTaskList bool
}
