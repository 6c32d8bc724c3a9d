package fleet

// RunOutcome is how a run of a task ended.
type RunOutcome int

const (
	RunUnknown RunOutcome = iota
	RunDone
	RunFailed
	// RunStopped is a run ended by a stop request.
	RunStopped
	// RunLeaseExpired is a run ended by the expiry of its lease.
	RunLeaseExpired
	// RunGangBroken is a run ended because another member of its gang ended.
	RunGangBroken
	// RunGangIncomplete is a gang member that timed out waiting for the others.
	RunGangIncomplete
)

// String returns the name for logs.
func (o RunOutcome) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[o]
}

// ActiveRun is a run that a worker reports as active.
type ActiveRun struct {
	Task    TaskID
	Attempt int
	// Checkpoint is the newest saved checkpoint; empty for none.
	Checkpoint string
	// Percent is the progress; for a long-running task, 100 once it is ready.
	Percent int
	// Usage is the tail latency in milliseconds for a serving task, and the CPU
	// in use for others.
	Usage int64
}

// FinishedRun is an outcome that a worker retains until it is acknowledged as
// recorded.
type FinishedRun struct {
	// Number increases within one incarnation of the worker.
	Number     int64
	Task       TaskID
	Attempt    int
	Outcome    RunOutcome
	Checkpoint string
}

// WorkerStatus is a worker's response to a status poll.
type WorkerStatus struct {
	// ClockMillis is the worker's monotonic clock.
	ClockMillis     int64
	StartedAtMillis int64
	Active          []ActiveRun
	Finished        []FinishedRun
	// MoreFinished reports that the worker may have further ends, which it returns once
	// these are acknowledged: a run that the status does not show may have ended so.
	MoreFinished bool
}
