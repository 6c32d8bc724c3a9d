package scheduler

import (
	"sort"
	"time"
)

// poolShares says how much of a full pool each team may use before others that have
// less. It answers the surge of one team, which would otherwise delay all teams of the
// queue alike.
type poolShares struct {
	// millicores is each team's share of the pool; nil while the pool is not full.
	millicores map[*team]int64
}

// teamDemand is what a team uses of a pool and still asks of it, in millicores.
type teamDemand struct {
	team   *team
	demand int64
}

// computeShares divides the capacity among the teams that ask for more than it holds,
// by max-min fairness: a team that asks for less than its weighted part gets all of it,
// and the others share what that leaves. Jobs without a team count as one team of mean
// weight.
func computeShares(capacity int64, demands []teamDemand) poolShares {
	total, teams := int64(0), 0
	for _, d := range demands {
		total += d.demand
		if d.team != nil {
			teams++
		}
	}
	if total <= capacity || teams == 0 {
		return poolShares{}
	}
	return poolShares{millicores: shareOut(capacity, demands)}
}

// shareOut returns each team's part of the capacity, by max-min fairness.
func shareOut(capacity int64, demands []teamDemand) map[*team]int64 {
	weights, teams := 0.0, 0
	for _, d := range demands {
		if d.team != nil {
			weights += float64(d.team.weight)
			teams++
		}
	}
	weightOf := func(t *team) float64 {
		if t == nil {
			return max(1, weights) / float64(max(1, teams))
		}
		return float64(t.weight)
	}
	sort.Slice(demands, func(i, k int) bool {
		a, b := demands[i], demands[k]
		return float64(a.demand)/weightOf(a.team) < float64(b.demand)/weightOf(b.team)
	})
	left, weightLeft := float64(capacity), 0.0
	for _, d := range demands {
		weightLeft += weightOf(d.team)
	}
	shares := make(map[*team]int64, len(demands))
	for _, d := range demands {
		w := weightOf(d.team)
		share := min(float64(d.demand), left*w/weightLeft)
		shares[d.team] = int64(share)
		left -= share
		weightLeft -= w
	}
	return shares
}

// exceeded reports whether the team uses its whole share of the full pool.
func (p poolShares) exceeded(t *team, used int64) bool {
	return p.millicores != nil && used >= p.millicores[t]
}

// poolTeam is a team in a pool.
type poolTeam struct {
	pool string
	team *team
}

// computePressures computes the pressure on every pool, and the shares of the teams in
// those whose waiting work that can be on time does not fit, VMs on their way included.
// Long-running tasks are left out: they run until they are cancelled, however full the
// pool is.
func (s *Scheduler) computePressures(pools map[string]*poolRound, now time.Time) {
	demands := map[poolTeam]int64{}
	for st := range s.ready {
		if class := rankOf(st, 0, now).class; class == classOnTime || class == classTight {
			demands[poolTeam{st.occurrence.job.queue.Pool, st.occurrence.job.team}] += int64(st.waiting) * st.def.Need.MilliCPU
		}
	}
	capacity := map[string]int64{}
	for name, pool := range pools {
		capacity[name] = pool.incoming
		for _, w := range pool.workers {
			capacity[name] += max(0, w.free().MilliCPU)
		}
	}
	for key, used := range s.shortUse {
		demands[key] += used
		capacity[key.pool] += used
	}
	byTeam, total := map[string][]teamDemand{}, map[string]int64{}
	for key, demand := range demands {
		byTeam[key.pool] = append(byTeam[key.pool], teamDemand{team: key.team, demand: demand})
		total[key.pool] += demand
	}
	for name, pool := range pools {
		pool.pressure = float64(total[name]) / float64(max(1, capacity[name]))
		pool.shares = computeShares(capacity[name], byTeam[name])
	}
}

// countShortUse adds the amount to what the task's team uses of the pool with tasks
// that end by themselves.
func (s *Scheduler) countShortUse(t *task, pool string, milliCPU int64) {
	if t.step.def.LongRunning || t.step.def.BestEffort {
		return
	}
	key := poolTeam{pool, t.step.occurrence.job.team}
	if s.shortUse[key] += milliCPU; s.shortUse[key] <= 0 {
		delete(s.shortUse, key)
	}
}
