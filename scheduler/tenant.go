package scheduler

import "github.com/anvilcourse/anvilcourse/fleet"

// tenant is what a team has running at the moment.
type tenant struct {
	name string
	used fleet.Resources
	// weight and limit come from the manifest in force.
	weight int64
	limit  fleet.Resources
}

// roomFor reports whether the tenant may run that much more.
func (t *tenant) roomFor(need fleet.Resources) bool {
	return t == nil || t.used.Plus(need).WithinCap(t.limit)
}
