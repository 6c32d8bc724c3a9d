package scheduler

import (
	"fmt"
	"sort"
	"time"
)

const (
	// overEntitlementPart is the part of a team's demand that must be left over for the
	// team to be reported as over its entitlement.
	overEntitlementPart = 0.1
	// entitlementReportDelay is how long a team must be within its entitlement again
	// before that is reported: its demand changes with each job.
	entitlementReportDelay = time.Second
)

// reportEntitlement logs which teams begin or cease to ask for more of a short fleet than
// they are entitled to.
func (s *Scheduler) reportEntitlement(demands map[demandKey]int64, division fleetDivision, now time.Time) {
	asked, given := map[*team]int64{}, map[*team]int64{}
	for key, demand := range demands {
		asked[key.team] += demand
		given[key.team] += division[key]
	}
	names := make([]string, 0, len(s.teams))
	for name := range s.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t := s.teams[name]
		over := float64(asked[t]-given[t]) > overEntitlementPart*float64(asked[t])
		switch {
		case over && t.overSince.IsZero():
			t.overSince = now
			s.emit(Event{Kind: "team.over_entitlement", ID: name, Reason: fmt.Sprintf(
				"asks %d millicores of a short fleet and is entitled to %d; its weight is %d, and %d of its jobs came beyond it",
				asked[t], given[t], t.weight, t.jobsBeyond)})
			t.lastOver = now
		case over:
			t.lastOver = now
		case !t.overSince.IsZero() && now.Sub(t.lastOver) >= entitlementReportDelay:
			s.emit(Event{Kind: "team.within_entitlement", ID: name, Reason: fmt.Sprintf(
				"asked more for %d ms", t.lastOver.Sub(t.overSince).Milliseconds())})
			t.overSince = time.Time{}
		}
	}
}
