package fleet

// Endpoint is one incarnation of a worker and its address.
type Endpoint struct {
	WorkerID string
	Address  string
	// StartedAtMillis is the incarnation that the caller knows at the address; 0 if it is
	// not known. The worker does not check it: a later one under the same ID may respond.
	// The client of workers does for starts, and for polls that name a deadline or an outcome.
	StartedAtMillis int64
	// FencingToken is the token of all requests to the incarnation. One that has seen a
	// higher token does nothing.
	FencingToken int64
}

// StartRequest starts one run of a task.
type StartRequest struct {
	Task    TaskID
	Attempt int
	Spec    string
	// DeadlineMillis is on the worker's clock. The worker rejects the request
	// after it, and the lease of all its runs lasts at least until then.
	DeadlineMillis int64
	FencingToken   int64
	Checkpoint     string
	Ticket         string
}

// PollRequest is the body of a status poll.
type PollRequest struct {
	// DeadlineMillis is on the worker's clock; 0 keeps the lease as it is.
	DeadlineMillis int64
	FencingToken   int64
	// RecordedThrough is the number of the last run outcome stored durably.
	RecordedThrough int64
}

// Ticket permits a worker to run the tasks of a step.
type Ticket struct {
	WorkerID string
	Text     string
}
