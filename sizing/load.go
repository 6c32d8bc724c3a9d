package sizing

// Load is a team's load over all entries, in slots.
type Load struct {
	// Running is the number of slots in use.
	Running float64
	// Waiting is the number of slots that waiting and recently refused requests
	// would use.
	Waiting float64
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Running: l.Running + other.Running, Waiting: l.Waiting + other.Waiting}
}

// demand is the load that the team may run under its upper limit.
func (l Load) demand(limit int) float64 {
	return max(0, min(l.Running+l.Waiting, float64(limit)))
}
