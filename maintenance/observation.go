package maintenance

import "time"

// Observation is what the deciding process has seen for itself.
type Observation struct {
	// ListedAt is when the platform's VM list was last asked for with success.
	ListedAt time.Time
	// VMs holds what was seen of the VMs under maintenance, by VM.
	VMs map[string]VMObservation
	// RequiredVMs is the number of VMs that each pool needs for its observed load. A
	// pool that is not in it needs none.
	RequiredVMs map[string]int
}

// VMObservation is what was seen of one VM in its present step.
type VMObservation struct {
	// CordonedAt is when the VM had confirmed that it takes no new work.
	CordonedAt time.Time
	// TasksQueriedAt is when the task list below was asked for.
	TasksQueriedAt time.Time
	// Running are the tasks that ran then.
	Running []RunningTask
	// HealthyAt is when the restarted VM was confirmed to take work.
	HealthyAt time.Time
}

// RunningTask is a task on a VM that drains.
type RunningTask struct {
	ID        string
	StartedAt time.Time
	// Checkpointable tells whether the task may be stopped with a checkpoint
	// and resumed elsewhere without harm to its request.
	Checkpointable bool
}
