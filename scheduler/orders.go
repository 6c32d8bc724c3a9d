package scheduler

import (
	"github.com/anvilcourse/anvilcourse/fleet"
)

// StartRequest is an order to start a run.
type StartRequest struct {
	Endpoint fleet.Endpoint
	Request  fleet.StartRequest
}

// StopRequest is an order to stop a run.
type StopRequest struct {
	Endpoint fleet.Endpoint
	Task     fleet.TaskID
	Attempt  int
}

// ThrottleRequest is an order to let a run work at a share of its speed.
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

// Batch is what one round of decisions asks for. The records are stored first;
// Durable then returns the starts.
type Batch struct {
	// Number rises with each batch.
	Number         int64
	Records        []fleet.Record
	Stops          []StopRequest
	Throttles      []ThrottleRequest
	AdviceRequests []AdviceRequest
	// PollSoon names workers whose next look should not wait.
	PollSoon []string
	// waitsFor tells that something happens once the batch is stored.
	starts []*task
	seen   map[*worker]int64
}

// Empty reports whether the batch asks for nothing.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Stops) == 0 && len(b.Throttles) == 0 && len(b.AdviceRequests) == 0 && len(b.PollSoon) == 0 && len(b.starts) == 0 && len(b.seen) == 0
}

// NeedsPersisting reports whether something waits until the batch is stored.
func (b *Batch) NeedsPersisting() bool {
	return len(b.Records) > 0 || len(b.starts) > 0 || len(b.seen) > 0
}
