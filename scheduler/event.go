package scheduler

import "strings"

// Event is one decision or change of belief, for the log.
type Event struct {
	// What names the decision, such as "task.requeued": what it is about, a dot
	// and what happened.
	What string
	// ID is the task's, job's or worker's.
	ID string
	// Why gives the inputs that decided it.
	Why string
	// Worker and Attempt are given where they apply.
	Worker  string
	Attempt int
}

// Subject names what the ID is of: a request, a worker, a VM or a pool.
func (e *Event) Subject() string {
	switch about, _, _ := strings.Cut(e.What, "."); about {
	case "worker", "vm", "pool":
		return about
	default:
		return "request"
	}
}
