package fakeworkers

import "time"

// Faults are the switches of one VM.
type Faults struct {
	// Unreachable refuses every connection.
	Unreachable bool
	// Gone loses every call after it may have taken effect.
	Gone bool
	// RefuseStarts refuses every start before it begins.
	RefuseStarts bool
	// FailAll ends every task in failure.
	FailAll bool
	// StopAll ends every task as stopped from outside.
	StopAll bool
	// LoseReplies loses the reply of this many tasks after their end.
	LoseReplies int
	// Crossed answers a task with the answer of another one.
	Crossed bool
	// Truncate cuts the answer short.
	Truncate bool
	// Late delays the reply of a task after its end.
	Late time.Duration
	// Silent lists no task, as a record that lags does.
	Silent bool
}
