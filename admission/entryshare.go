package admission

import "github.com/anvilcourse/anvilcourse/shares"

// Entitlement is a team's share and upper limit.
type Entitlement struct {
	Team string
	// Weight is the team's share, in any unit that all teams have in common.
	Weight float64
	// Limit is the team's upper limit in slots.
	Limit float64
}

// EntryShare is what one entry may use of a capacity that several share.
type EntryShare struct {
	// Contended tells whether all teams together can use more than the capacity.
	Contended bool
	// TeamSlots are the slots that each team is owed over all entries.
	TeamSlots map[string]float64
	// OthersWaiting tells whether another entry has requests that wait.
	OthersWaiting bool
	// Weights are the teams' shares.
	Weights map[string]float64
	// LoadFractions are the parts of the teams' whole loads that are here, above 0
	// and up to 1.
	LoadFractions map[string]float64
}

// teamSlots is the entry's part of the team's target, in slots.
func (p *EntryShare) teamSlots(team string) float64 {
	return p.TeamSlots[team] * p.LoadFractions[team]
}

// TotalSlots is the number of slots that the entry may use.
func (p *EntryShare) TotalSlots() float64 {
	total := 0.0
	for team := range p.TeamSlots {
		total += p.teamSlots(team)
	}
	return total
}

// smoothFrom moves the portions from the former ones toward the new ones. What is
// here is newer than what is elsewhere, so that a jump of the demand shows in
// the portions at first though it is the same at every entry.
func (p *EntryShare) smoothFrom(former *EntryShare) {
	for team, portion := range p.LoadFractions {
		if before, ok := former.LoadFractions[team]; ok {
			p.LoadFractions[team] = before + fractionSmoothing*(portion-before)
		}
	}
}

// fractionSmoothing is the weight of the latest portions.
const fractionSmoothing = 0.05

// ComputeEntryShare divides the capacity among the teams by weighted max-min
// fairness and each team's target among the entries by their load of the team.
// Entries with the same view compute parts that add up to the targets. With
// views of different age the parts add up to more or less for as long.
func ComputeEntryShare(capacity float64, teams []Entitlement, own []Load, others [][]Load) EntryShare {
	mine, all := byTeam(own), byTeam(own)
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
			sum := all[l.Team]
			sum.Running += l.Running
			sum.Waiting += l.Waiting
			all[l.Team] = sum
			out.OthersWaiting = out.OthersWaiting || l.Waiting >= 1
		}
	}
	claims := make([]shares.TeamDemand, len(teams))
	wanted := 0.0
	for i, t := range teams {
		claims[i] = shares.TeamDemand{Weight: t.Weight, Demand: all[t.Team].totalSlots(), Limit: t.Limit}
		wanted += min(claims[i].Demand, t.Limit)
		out.Weights[t.Team] = t.Weight
		out.LoadFractions[t.Team] = (mine[t.Team].totalSlots() + 1) / (all[t.Team].totalSlots() + float64(len(others)+1))
	}
	out.Contended = wanted > capacity
	for i, target := range shares.Compute(capacity, claims) {
		out.TeamSlots[teams[i].Team] = target
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
