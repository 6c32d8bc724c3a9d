package ledger

// Phase is how far a task is, as the ledger holds it.
type Phase int

// Phases of a task.
const (
	// PhaseWaiting tasks have no run.
	PhaseWaiting Phase = iota
	// PhaseAssigned tasks may have a run on their worker.
	PhaseAssigned
	// PhaseDone tasks have ended as done.
	PhaseDone
)
