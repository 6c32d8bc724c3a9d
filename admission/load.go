package admission

// Load is one team's load at one entry, in slots.
type Load struct {
	Team string
	// Running is the number of running tasks.
	Running float64
	// Waiting is the number of waiting requests, plus the slots that recently
	// refused requests would have used.
	Waiting float64
}

// totalSlots returns the number of slots that the team can use at the entry.
func (l Load) totalSlots() float64 {
	return l.Running + l.Waiting
}
