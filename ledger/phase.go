package ledger

// Phase is the progress of a task in the ledger.
type Phase int

// Phases of a task.
const (
	// PhaseWaiting tasks have no run.
	PhaseWaiting Phase = iota
	// PhaseAssigned tasks may have a run on their worker.
	PhaseAssigned
	// PhaseDone tasks have completed.
	PhaseDone
)
