package admission

// Load is one team's load at one entry, in slots.
type Load struct {
	Team string
	// Running is the number of tasks that run.
	Running float64
	// Waiting is the number of requests that wait, and the slots that the
	// requests refused lately would have used.
	Waiting float64
}

// totalSlots is what the team can use at the entry.
func (l Load) totalSlots() float64 {
	return l.Running + l.Waiting
}
