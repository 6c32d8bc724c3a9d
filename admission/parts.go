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

// Parts is what one entry may use of a capacity that several share.
type Parts struct {
	// Contended tells whether all teams together can use more than the capacity.
	Contended bool
	// Targets are the slots that each team is owed over all entries.
	Targets map[string]float64
	// Others tells whether another entry has requests that wait.
	Others bool
	// Weights are the teams' shares.
	Weights map[string]float64
	// Portions are the parts of the teams' whole loads that are here, above 0
	// and up to 1.
	Portions map[string]float64
}

// ofTeam is the entry's part of the team's target, in slots.
func (p *Parts) ofTeam(team string) float64 {
	return p.Targets[team] * p.Portions[team]
}

// Total is the number of slots that the entry may use.
func (p *Parts) Total() float64 {
	total := 0.0
	for team := range p.Targets {
		total += p.ofTeam(team)
	}
	return total
}

// follow moves the portions from the former ones toward the new ones. What is
// here is newer than what is elsewhere, so that a jump of the demand shows in
// the portions at first though it is the same at every entry.
func (p *Parts) follow(former *Parts) {
	for team, portion := range p.Portions {
		if before, ok := former.Portions[team]; ok {
			p.Portions[team] = before + portionSmoothing*(portion-before)
		}
	}
}

// portionSmoothing is the weight of the latest portions.
const portionSmoothing = 0.05

// ComputeParts divides the capacity among the teams by weighted max-min
// fairness and each team's target among the entries by their load of the team.
// Entries with the same view compute parts that add up to the targets. With
// views of different age the parts add up to more or less for as long.
func ComputeParts(capacity float64, teams []Entitlement, own []Load, others [][]Load) Parts {
	mine, all := byTeam(own), byTeam(own)
	known := make(map[string]bool, len(teams))
	for _, t := range teams {
		known[t.Team] = true
	}
	out := Parts{
		Targets:  make(map[string]float64, len(teams)),
		Weights:  make(map[string]float64, len(teams)),
		Portions: make(map[string]float64, len(teams)),
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
			out.Others = out.Others || l.Waiting >= 1
		}
	}
	claims := make([]shares.Claim, len(teams))
	wanted := 0.0
	for i, t := range teams {
		claims[i] = shares.Claim{Weight: t.Weight, Demand: all[t.Team].total(), Limit: t.Limit}
		wanted += min(claims[i].Demand, t.Limit)
		out.Weights[t.Team] = t.Weight
		out.Portions[t.Team] = (mine[t.Team].total() + 1) / (all[t.Team].total() + float64(len(others)+1))
	}
	out.Contended = wanted > capacity
	for i, target := range shares.Compute(capacity, claims) {
		out.Targets[teams[i].Team] = target
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
