package maintenance

import "time"

// Observation is what the planning process has observed itself.
type Observation struct {
	// ListedAt is when the platform's VM list was last read successfully.
	ListedAt time.Time
	// VMs holds the observations of the VMs under maintenance, by VM ID.
	VMs map[string]VMObservation
	// RequiredVMs is the number of VMs that each pool needs for its observed
	// load. A missing pool needs none.
	RequiredVMs map[string]int
}

// VMObservation is what was observed of one VM in its current step.
type VMObservation struct {
	// CordonedAt is when the VM had confirmed that it accepts no new work.
	CordonedAt time.Time
	// TasksQueriedAt is when the query for Running was sent.
	TasksQueriedAt time.Time
	// Running are the tasks that were running then.
	Running []RunningTask
	// HealthyAt is when the restarted VM was confirmed to accept work.
	HealthyAt time.Time
}

// RunningTask is a task on a draining VM.
type RunningTask struct {
	ID        string
	StartedAt time.Time
	// Checkpointable reports whether the task may be stopped with a checkpoint
	// and resumed elsewhere without harm to its request.
	Checkpointable bool
}
