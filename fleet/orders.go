package fleet

// Endpoint names one life of a worker and where it listens.
type Endpoint struct {
	WorkerID string
	Address  string
}

// StartRequest starts one run of a task.
type StartRequest struct {
	Task    TaskID
	Attempt int
	Spec    string
	// DeadlineMillis is on the worker's clock: the order is void after it, and
	// the lease of all that runs there lasts until then at least.
	DeadlineMillis int64
	FencingToken   int64
	Checkpoint     string
	Ticket         string
}

// PollRequest goes with a look at a worker.
type PollRequest struct {
	// DeadlineMillis is on the worker's clock; 0 extends no lease.
	DeadlineMillis int64
	FencingToken   int64
	// RecordedThrough is the number of the last end that is recorded for good.
	RecordedThrough int64
}

// Ticket lets a worker run the tasks of a step.
type Ticket struct {
	WorkerID string
	Text     string
}
