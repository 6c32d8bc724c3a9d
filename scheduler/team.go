package scheduler

import "github.com/anvilcourse/anvilcourse/fleet"

// team is what a team has running at the moment.
type team struct {
	name string
	used fleet.Resources
	// weight and limit come from the manifest in force.
	weight int64
	limit  fleet.Resources
}

// roomFor reports whether the team may run that much more.
func (t *team) roomFor(need fleet.Resources) bool {
	return t == nil || t.used.Plus(need).WithinCap(t.limit)
}
