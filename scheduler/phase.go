package scheduler

// phase is a task's state as the leader knows it.
type phase int

const (
	// waiting tasks have no run and may be placed.
	waiting phase = iota
	// persisting tasks wait for their assignment to be stored.
	persisting
	// starting tasks have a start request that has not been confirmed.
	starting
	// running tasks have been confirmed by their worker.
	running
	// stopping tasks have a stop request.
	stopping
	// done tasks have succeeded, or belong to a finished job.
	done
)

// String returns the phase's name.
func (p phase) String() string {
	return [...]string{"waiting", "persisting", "starting", "running", "stopping", "done"}[p]
}
