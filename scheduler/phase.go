package scheduler

// phase is how far a task is, as the owner knows it.
type phase int

const (
	// waiting tasks have no run and may be placed.
	waiting phase = iota
	// recording tasks wait for their assignment to be stored.
	recording
	// starting tasks have been ordered and not been confirmed.
	starting
	// running tasks have been confirmed by their worker.
	running
	// stopping tasks have been ordered to stop.
	stopping
	// done tasks have ended as done, or are no longer wanted.
	done
)
