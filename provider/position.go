package provider

// TaskListPosition tells where a VM's record of tasks stands.
type TaskListPosition struct {
	// RecordID names the record.
	RecordID string `json:"record"`
	// TasksStarted is the number of tasks that it has ever held.
	TasksStarted uint64 `json:"started"`
}

// Position returns where the record stood when it was listed.
func (l TaskList) Position() TaskListPosition {
	return TaskListPosition{RecordID: l.RecordID, TasksStarted: l.PrunedCount + uint64(len(l.Tasks))}
}
