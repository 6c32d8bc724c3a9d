package scheduler

import (
	"github.com/anvilcourse/anvilcourse/fleet"
)

// StartRequest is a request to start a run.
type StartRequest struct {
	Endpoint fleet.Endpoint
	Request  fleet.StartRequest
}

// StopRequest is a request to stop a run.
type StopRequest struct {
	Endpoint fleet.Endpoint
	Task     fleet.TaskID
	Attempt  int
}

// ThrottleRequest is a request to limit a run to a CPU share.
type ThrottleRequest struct {
	Endpoint fleet.Endpoint
	Task     fleet.TaskID
	Attempt  int
	Percent  int
}

// AdviceRequest asks the advice service which workers may run a step.
type AdviceRequest struct {
	Step    string
	Workers []string
}

// pendingStart is an assignment that is not stored yet. The task may have been withdrawn
// and assigned again when it is.
type pendingStart struct {
	task    *task
	attempt int
}

// Batch holds one round of decisions. The records are stored first;
// HandleBatchPersisted then returns the starts.
type Batch struct {
	// Number increases with each batch.
	Number         int64
	Records        []fleet.Record
	Stops          []StopRequest
	Throttles      []ThrottleRequest
	AdviceRequests []AdviceRequest
	// PollSoon names workers whose next poll should not wait.
	PollSoon []string
	// PollBeforeStart names workers that are polled while an assignment to them is stored.
	PollBeforeStart []string
	// pendingStarts, pendingOperations and handledOutcomes take effect once the batch is stored.
	pendingStarts     []pendingStart
	pendingOperations []VMOperation
	handledOutcomes   map[*worker]int64
}

// Empty reports whether the batch requests nothing.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Stops) == 0 && len(b.Throttles) == 0 && len(b.AdviceRequests) == 0 && len(b.PollSoon) == 0 && len(b.PollBeforeStart) == 0 && len(b.pendingStarts) == 0 && len(b.handledOutcomes) == 0
}

// NeedsPersisting reports whether the batch must be stored to take effect.
func (b *Batch) NeedsPersisting() bool {
	return len(b.Records) > 0 || len(b.pendingStarts) > 0 || len(b.handledOutcomes) > 0
}
