package shares

// TeamDemand is what one team asks of the capacity. All amounts are in slots.
type TeamDemand struct {
	// Weight is the team's share, in any unit that all claims have in common. A
	// claim of weight 0 gets only what the others leave.
	Weight float64
	// Demand is what the team can use now.
	Demand float64
	// Limit is the team's upper limit.
	Limit float64
}

// want is the most that the claim can be given.
func (c TeamDemand) want() float64 {
	return max(0, min(c.Demand, c.Limit))
}
