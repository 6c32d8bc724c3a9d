package scheduler

import "strings"

// Event is one decision or change of belief, for the log.
type Event struct {
	// Kind names the decision, such as "task.requeued": what it is about, a dot
	// and what happened.
	Kind string
	// ID is the task's, job's or worker's.
	ID string
	// Reason gives the inputs that decided it.
	Reason string
	// Worker and Attempt are given where they apply.
	Worker  string
	Attempt int
}

// SubjectKind names what the ID is of: a request, a worker, a VM or a pool.
func (e *Event) SubjectKind() string {
	switch about, _, _ := strings.Cut(e.Kind, "."); about {
	case "worker", "vm", "pool":
		return about
	default:
		return "request"
	}
}
