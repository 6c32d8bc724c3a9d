package admission

import "github.com/anvilcourse/anvilcourse/shares"

// Entitlement is a team's share and upper limit.
type Entitlement struct {
	Team string
	// Weight is the team's share, in any unit common to all teams.
	Weight float64
	// Limit is the team's upper limit in slots.
	Limit float64
}

// EntryShare is one entry's part of a capacity that all entries share.
type EntryShare struct {
	// Contended is set if the teams' total demand exceeds the capacity.
	Contended bool
	// TeamSlots is each team's fair number of slots over all entries.
	TeamSlots map[string]float64
	// OthersWaiting is set if requests wait at another entry.
	OthersWaiting bool
	// Weights are the teams' shares.
	Weights map[string]float64
	// LoadFractions are the fractions of the teams' loads that are at this
	// entry, above 0 and up to 1.
	LoadFractions map[string]float64
}

// teamSlots returns the entry's part of the team's slots.
func (s *EntryShare) teamSlots(team string) float64 {
	return s.TeamSlots[team] * s.LoadFractions[team]
}

// TotalSlots returns the number of slots that the entry may use.
func (s *EntryShare) TotalSlots() float64 {
	total := 0.0
	for team := range s.TeamSlots {
		total += s.teamSlots(team)
	}
	return total
}

// smoothFrom smooths the load fractions. The entry's own load is newer than
// that of the others, so a jump in demand raises the fraction at first, even if
// demand is the same at every entry.
func (s *EntryShare) smoothFrom(previous *EntryShare) {
	for team, fraction := range s.LoadFractions {
		if before, ok := previous.LoadFractions[team]; ok {
			s.LoadFractions[team] = before + fractionSmoothing*(fraction-before)
		}
	}
}

// fractionSmoothing is the weight of the latest load fractions.
const fractionSmoothing = 0.05

// ComputeEntryShare divides the capacity among the teams by weighted max-min
// fairness and each team's slots among the entries by their load of the team.
// With the same view, the entries' shares add up to the team's slots. With
// views of different age they temporarily add up to more or less.
func ComputeEntryShare(capacity float64, teams []Entitlement, own []Load, others [][]Load) EntryShare {
	ownByTeam, totalByTeam := byTeam(own), byTeam(own)
	known := make(map[string]bool, len(teams))
	for _, t := range teams {
		known[t.Team] = true
	}
	out := EntryShare{
		TeamSlots:     make(map[string]float64, len(teams)),
		Weights:       make(map[string]float64, len(teams)),
		LoadFractions: make(map[string]float64, len(teams)),
	}
	for _, loads := range others {
		for _, l := range loads {
			if !known[l.Team] {
				continue
			}
			sum := totalByTeam[l.Team]
			sum.Running += l.Running
			sum.Waiting += l.Waiting
			totalByTeam[l.Team] = sum
			out.OthersWaiting = out.OthersWaiting || l.Waiting >= 1
		}
	}
	demands := make([]shares.TeamDemand, len(teams))
	totalDemand := 0.0
	for i, t := range teams {
		demands[i] = shares.TeamDemand{Weight: t.Weight, Demand: totalByTeam[t.Team].totalSlots(), Limit: t.Limit}
		totalDemand += min(demands[i].Demand, t.Limit)
		out.Weights[t.Team] = t.Weight
		out.LoadFractions[t.Team] = (ownByTeam[t.Team].totalSlots() + 1) / (totalByTeam[t.Team].totalSlots() + float64(len(others)+1))
	}
	out.Contended = totalDemand > capacity
	for i, slots := range shares.Compute(capacity, demands) {
		out.TeamSlots[teams[i].Team] = slots
	}
	return out
}

func byTeam(loads []Load) map[string]Load {
	out := make(map[string]Load, len(loads))
	for _, l := range loads {
		out[l.Team] = l
	}
	return out
}
