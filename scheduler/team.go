package scheduler

import "github.com/anvilcourse/anvilcourse/fleet"

// team holds a team's current usage and limit.
type team struct {
	name string
	used fleet.Resources
	// weight and limit come from the current manifest.
	weight int64
	limit  fleet.Resources
}

// hasCapacityFor reports whether the need fits in the team's limit.
func (t *team) hasCapacityFor(need fleet.Resources) bool {
	return t == nil || t.used.Plus(need).WithinCap(t.limit)
}
