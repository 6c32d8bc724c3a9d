package shares

// TeamDemand is one team's demand for capacity. All amounts are in slots.
type TeamDemand struct {
	// Weight is the team's share, in any unit common to all teams. A team of
	// weight 0 gets only what the others leave.
	Weight float64
	// Demand is the amount that the team can use now.
	Demand float64
	// Limit is the team's upper limit.
	Limit float64
}

// maxUsable is the maximum amount that the team can be given.
func (d TeamDemand) maxUsable() float64 {
	return max(0, min(d.Demand, d.Limit))
}
