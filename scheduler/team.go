package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// team holds a team's current usage.
type team struct {
	name string
	used fleet.Resources
	// weight is as the newest job or manifest tells; it only divides full pools.
	weight int64
	// allowance measures the team's jobs against its weight; jobsBeyond counts those
	// beyond it.
	allowance  allowance
	jobsBeyond int
	// weightReported is set once a weight below one has been logged.
	weightReported bool
	// overSince and lastOver are when the team was first and last found to ask for more
	// of a short fleet than it is entitled to; overSince is zero while it is not.
	overSince, lastOver time.Time
}

// hasTeamCapacityFor reports whether the need fits in the limit of the job's team.
func (j *job) hasTeamCapacityFor(need fleet.Resources) bool {
	return j.team == nil || j.team.used.Plus(need).WithinCap(j.limit)
}
