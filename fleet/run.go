package fleet

// RunOutcome is how a run of a task ended.
type RunOutcome int

// Ways in which a run ends.
const (
	RunUnknown RunOutcome = iota
	RunDone
	RunFailed
	// RunStopped is the end by an order.
	RunStopped
	// RunLeaseExpired is the end by a lease that ran out.
	RunLeaseExpired
	// RunGangBroken is the end because another member of the gang ended.
	RunGangBroken
	// RunGangIncomplete is the end of a gang member that waited for the others in vain.
	RunGangIncomplete
)

// String returns the name for logs.
func (e RunOutcome) String() string {
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
	Outcome    RunOutcome
	Checkpoint string
}

// WorkerStatus is a worker's answer to one look at it.
type WorkerStatus struct {
	// ClockMillis is the worker's steady clock.
	ClockMillis     int64
	StartedAtMillis int64
	Active          []ActiveRun
	Finished        []FinishedRun
}
