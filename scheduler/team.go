package scheduler

import "github.com/anvilcourse/anvilcourse/fleet"

// team holds a team's current usage.
type team struct {
	name string
	used fleet.Resources
	// weight is as the newest job or manifest tells; it only divides full pools.
	weight int64
}

// hasTeamCapacityFor reports whether the need fits in the limit of the job's team.
func (j *job) hasTeamCapacityFor(need fleet.Resources) bool {
	return j.team == nil || j.team.used.Plus(need).WithinCap(j.limit)
}
