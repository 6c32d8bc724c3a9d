package scheduler

import "strings"

// Event is a decision or a state change, for the log.
type Event struct {
	// Kind names the event, such as "task.requeued": the subject, a dot and what
	// happened.
	Kind string
	// ID identifies the task, job, worker, VM, pool, team, zone or wave.
	ID string
	// Reason gives the inputs of the decision.
	Reason string
	// Worker and Attempt are set where they apply.
	Worker  string
	Attempt int
}

// SubjectKind returns what the ID identifies: a request, a worker, a VM, a pool, a
// team, an availability zone or a wave.
func (e *Event) SubjectKind() string {
	switch subject, _, _ := strings.Cut(e.Kind, "."); subject {
	case "worker", "vm", "pool", "team", "zone", "wave":
		return subject
	default:
		return "request"
	}
}
