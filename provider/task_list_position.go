package provider

// TaskListPosition is a point in the history of a VM's task list.
type TaskListPosition struct {
	// RecordID identifies the task list.
	RecordID string `json:"record"`
	// TasksStarted is the number of tasks that it has ever contained.
	TasksStarted uint64 `json:"started"`
}

// Position returns the position at which the list was read.
func (l TaskList) Position() TaskListPosition {
	return TaskListPosition{RecordID: l.RecordID, TasksStarted: l.PrunedCount + uint64(len(l.Tasks))}
}
