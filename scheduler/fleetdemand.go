package scheduler

import "time"

// demandPart is what a part of the demand runs and still asks, in millicores.
type demandPart struct{ running, arriving, waiting int64 }

func (p demandPart) demand() int64 { return max(p.running, p.arriving) + p.waiting }

// limitDemands limits the pools' demands to what the teams behind them are entitled to,
// while the pools ask more than the fleet holds, VMs that are switched off included.
// Long-running tasks come off the capacity first: they run until they are cancelled.
func (s *Scheduler) limitDemands(pools map[string]*poolState, now time.Time) {
	capacity, total := int64(0), int64(0)
	for _, p := range pools {
		capacity += p.capacity + p.vacating - p.lasting
		total += p.demand - p.lasting
	}
	var demands map[demandKey]int64
	var division fleetDivision
	if total > capacity {
		demands = s.demandParts(pools, now)
		division = divideFleet(capacity, demands)
	}
	s.reportEntitlement(demands, division, now)
	if division == nil {
		return
	}
	given := division.pools()
	for name, p := range pools {
		p.limited = true
		p.entitled = p.lasting + given[name]
		p.demand = min(p.demand, p.entitled)
	}
	for key := range demands {
		if p := pools[key.pool]; !p.hasPriority || key.priority < p.priority {
			p.priority, p.hasPriority = key.priority, true
		}
	}
}

// demandParts splits the pools' demands, without long-running tasks, by team, priority and
// tier. The parts of a pool add up to its demand: a team's few jobs arrive unevenly, and
// the larger of what each team runs and what arrives from it would add up to more.
func (s *Scheduler) demandParts(pools map[string]*poolState, now time.Time) map[demandKey]int64 {
	parts := map[demandKey]demandPart{}
	s.addRunning(parts)
	s.addWaiting(parts, now)
	for key, share := range s.arrivals.shares(now) {
		p, known := pools[key.pool]
		if !known {
			continue
		}
		part := parts[key]
		part.arriving = int64(share * float64(p.arriving))
		parts[key] = part
	}
	sums := map[string]int64{}
	for key, part := range parts {
		sums[key.pool] += part.demand()
	}
	out := make(map[demandKey]int64, len(parts))
	for key, part := range parts {
		p, known := pools[key.pool]
		if !known || sums[key.pool] == 0 {
			continue
		}
		scale := min(1, float64(p.demand-p.lasting)/float64(sums[key.pool]))
		out[key] = int64(scale * float64(part.demand()))
	}
	return out
}

// addRunning adds the running tasks that end by themselves.
func (s *Scheduler) addRunning(parts map[demandKey]demandPart) {
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.step.def.BestEffort || t.step.def.LongRunning {
				continue
			}
			key := t.step.occurrence.job.demandKey(w.info.Pool)
			if t.placedLate {
				key.tier = tierLate
			}
			part := parts[key]
			part.running += t.step.def.Need.MilliCPU
			parts[key] = part
		}
	}
}

// addWaiting adds the waiting tasks that can be on time.
func (s *Scheduler) addWaiting(parts map[demandKey]demandPart, now time.Time) {
	for st := range s.ready {
		if st.def.BestEffort || st.def.LongRunning || rankOf(st, 0, now).class > classTight {
			continue
		}
		key := st.occurrence.job.demandKey(st.occurrence.job.queue.Pool)
		part := parts[key]
		part.waiting += int64(st.waiting) * st.def.Need.MilliCPU
		parts[key] = part
	}
}

// demandKey returns the part of the pool's demand that the job's work belongs to.
func (j *job) demandKey(pool string) demandKey {
	key := demandKey{pool: pool, team: j.team, priority: j.queue.Priority}
	if j.beyond {
		key.tier = tierBeyond
	}
	return key
}
