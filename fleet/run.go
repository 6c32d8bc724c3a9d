package fleet

// RunEnd is how a run of a task ended.
type RunEnd int

// Ways in which a run ends.
const (
	EndUnknown RunEnd = iota
	EndDone
	EndFailed
	// EndStopped is the end by an order.
	EndStopped
	// EndLapsed is the end by a lease that ran out.
	EndLapsed
	// EndBroken is the end because another member of the gang ended.
	EndBroken
	// EndAlone is the end of a gang member that waited for the others in vain.
	EndAlone
)

// String returns the name for logs.
func (e RunEnd) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}

// ActiveRun is a run that a worker lists as there.
type ActiveRun struct {
	Task    TaskID
	Attempt int
	// Checkpoint is the newest saved progress; empty for none.
	Checkpoint string
	// Percent is the progress; of a lasting task, 100 once it is at work.
	Percent int
	// Usage is the tail of the response times in milliseconds for a serving
	// task, and the processors in use for others.
	Usage int64
}

// FinishedRun is an end that a worker keeps until it is told that the end was
// recorded.
type FinishedRun struct {
	// Number rises within one life of the worker.
	Number     int64
	Task       TaskID
	Attempt    int
	End        RunEnd
	Checkpoint string
}

// Look is a worker's answer to one look at it.
type Look struct {
	// ClockMillis is the worker's steady clock.
	ClockMillis int64
	BornMillis  int64
	Active      []ActiveRun
	Finished    []FinishedRun
}
