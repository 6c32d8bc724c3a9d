package scheduler

// Event is one decision or change of belief, for the log.
type Event struct {
	// What names the decision, such as "task.requeued".
	What string
	// ID is the task's, job's or worker's.
	ID string
	// Why gives the inputs that decided it.
	Why string
	// Worker and Attempt are given where they apply.
	Worker  string
	Attempt int
}
