package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// allowancePeriod is how much of a team's rate may arrive at once: its weight is agreed
// in jobs a second.
const allowancePeriod = time.Second

// allowance tells which of a team's jobs are within its weight in jobs a second. Over any
// length of time it lets pass at most the weight times that length plus one period. It
// starts full, and is soft: a new leader fills it again from the jobs in the ledger.
type allowance struct {
	spent float64
	at    time.Time
}

// take reports whether a job that arrived at the time is within the allowance, and
// deducts it. Jobs may come out of order: one that arrived earlier than the last counts
// as arriving with it.
func (a *allowance) take(weight int64, at time.Time) bool {
	perSecond := float64(max(1, weight))
	if at.After(a.at) {
		a.spent = max(0, a.spent-perSecond*at.Sub(a.at).Seconds())
		a.at = at
	}
	if a.spent+1 > perSecond*allowancePeriod.Seconds() {
		return false
	}
	a.spent++
	return true
}

// beyondAllowance reports whether a job that arrived at the time is beyond its team's
// allowance, and counts it. Jobs without a team, with a schedule or that run until they are
// cancelled are always within: the first have no weight, the others start when they are
// due or are asked for once.
func (s *Scheduler) beyondAllowance(sub *fleet.Submission, at time.Time) bool {
	if !s.cfg.Policies.Entitlement || sub.Team == "" || sub.LongRunning() || sub.HasSchedule() {
		return false
	}
	t := s.teamByName(sub.Team)
	if t.allowance.take(s.teamOf(sub).Weight, at) {
		return false
	}
	t.jobsBeyond++
	return true
}

// reportInvalidWeights logs each team with a weight below one once; it counts as one.
func (s *Scheduler) reportInvalidWeights() {
	if !s.cfg.Policies.Entitlement {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.manifest.Teams)) {
		weight := s.manifest.Teams[name].Weight
		if t := s.teamByName(name); t != nil && weight < 1 && !t.weightReported {
			t.weightReported = true
			s.emit(Event{Kind: "team.weight_invalid", ID: name, Reason: fmt.Sprintf("weight %d counts as 1", weight)})
		}
	}
}
