package membership

import (
	"cmp"
	"slices"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// View is the part of an entry's heartbeat that is sent only when it changes.
// It must not be modified once it is passed on.
type View struct {
	AvailabilityZone string
	// Teams holds the load of each team once.
	Teams []*peerpb.TeamLoad
	// Reachable holds the hashes of the incarnations that the entry reaches.
	Reachable []uint32
}

// sort puts the view into canonical order.
func (v View) sort() {
	slices.SortFunc(v.Teams, func(a, b *peerpb.TeamLoad) int { return cmp.Compare(a.GetTeam(), b.GetTeam()) })
	slices.Sort(v.Reachable)
}

// hasTeamsOf reports whether both views have the same zone and teams.
func (v View) hasTeamsOf(other View) bool {
	sameTeam := func(a, b *peerpb.TeamLoad) bool { return a.GetTeam() == b.GetTeam() }
	return v.AvailabilityZone == other.AvailabilityZone && slices.EqualFunc(v.Teams, other.Teams, sameTeam)
}

// sameLoad reports whether two loads of one team are equal.
func sameLoad(a, b *peerpb.TeamLoad) bool {
	return a.GetRunning() == b.GetRunning() && a.GetWaiting() == b.GetWaiting() && a.GetSpare() == b.GetSpare()
}
