package scheduler

import (
	"github.com/anvilcourse/anvilcourse/fleet"
)

// Start is an order to start a run.
type Start struct {
	To    fleet.Endpoint
	Order fleet.StartOrder
}

// Stop is an order to stop a run.
type Stop struct {
	To      fleet.Endpoint
	Task    fleet.TaskID
	Attempt int
}

// Pace is an order to let a run work at a share of its speed.
type Pace struct {
	To      fleet.Endpoint
	Task    fleet.TaskID
	Attempt int
	Percent int
}

// Question asks the advice service which workers may run a step.
type Question struct {
	Step    string
	Workers []string
}

// Batch is what one round of decisions asks for. The records are stored first;
// Durable then returns the starts.
type Batch struct {
	// Number rises with each batch.
	Number  int64
	Records []fleet.Record
	Stops   []Stop
	Paces   []Pace
	Asks    []Question
	// Look names workers whose next look should not wait.
	Look []string
	// waitsFor tells that something happens once the batch is stored.
	starts []*task
	seen   map[*worker]int64
}

// Empty reports whether the batch asks for nothing.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Stops) == 0 && len(b.Paces) == 0 && len(b.Asks) == 0 && len(b.Look) == 0 && len(b.starts) == 0 && len(b.seen) == 0
}

// NeedsStore reports whether something waits until the batch is stored.
func (b *Batch) NeedsStore() bool {
	return len(b.Records) > 0 || len(b.starts) > 0 || len(b.seen) > 0
}
