package scheduler

import "sort"

// demandTier orders demand by whether the fleet owes it capacity.
type demandTier int

const (
	// tierEntitled is work of jobs within their team's allowance that can be on time.
	tierEntitled demandTier = iota
	// tierBeyond is work of jobs beyond their team's allowance.
	tierBeyond
	// tierLate is running work of jobs that can only be late.
	tierLate
	tierCount
)

// demandKey identifies a part of the fleet's demand.
type demandKey struct {
	pool     string
	team     *team
	priority int
	tier     demandTier
}

// fleetDivision says what each part of the demand gets of a fleet that is short, in
// millicores. It is nil while the fleet holds all that is asked.
type fleetDivision map[demandKey]int64

// divideFleet divides the capacity among demands that exceed it together. Each tier gets
// what those before it leave. Within a tier each team gets its weighted part by max-min
// fairness; the queue with the lowest priority number is the first to get a team's part,
// and queues of equal priority get it in proportion to what they ask.
//
// It answers the surge of one team that asks several times the fleet: sized by it, its
// queue keeps every VM while the turn of the next queue has begun.
func divideFleet(capacity int64, demands map[demandKey]int64) fleetDivision {
	total := int64(0)
	for _, demand := range demands {
		total += demand
	}
	if total <= capacity {
		return nil
	}
	out := make(fleetDivision, len(demands))
	for tier := tierEntitled; tier < tierCount; tier++ {
		capacity -= out.divideTier(tier, max(0, capacity), demands)
	}
	return out
}

// divideTier divides the capacity among the demands of one tier, and returns how much they
// get together.
func (d fleetDivision) divideTier(tier demandTier, capacity int64, demands map[demandKey]int64) (given int64) {
	byTeam := map[*team][]demandKey{}
	asked := map[*team]int64{}
	for key, demand := range demands {
		if key.tier == tier {
			byTeam[key.team] = append(byTeam[key.team], key)
			asked[key.team] += demand
		}
	}
	teams := make([]teamDemand, 0, len(asked))
	for t, demand := range asked {
		teams = append(teams, teamDemand{team: t, demand: demand})
	}
	shares := shareOut(capacity, teams)
	for t, keys := range byTeam {
		given += d.divideTeam(shares[t], keys, demands)
	}
	return given
}

// divideTeam divides a team's part among its queues, lowest priority number first.
func (d fleetDivision) divideTeam(part int64, keys []demandKey, demands map[demandKey]int64) (given int64) {
	sort.Slice(keys, func(i, k int) bool { return keys[i].priority < keys[k].priority })
	for len(keys) > 0 {
		n, asked := 0, int64(0)
		for n < len(keys) && keys[n].priority == keys[0].priority {
			asked += demands[keys[n]]
			n++
		}
		fraction := 1.0
		if asked > part {
			fraction = float64(part) / float64(asked)
		}
		for _, key := range keys[:n] {
			d[key] = int64(fraction * float64(demands[key]))
			given += d[key]
			part -= d[key]
		}
		keys = keys[n:]
	}
	return given
}

// pools returns what each pool gets.
func (d fleetDivision) pools() map[string]int64 {
	out := map[string]int64{}
	for key, amount := range d {
		out[key.pool] += amount
	}
	return out
}
