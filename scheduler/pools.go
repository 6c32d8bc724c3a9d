package scheduler

import (
	"sort"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

const (
	// capacityMargin is a pool's desired capacity as a multiple of its demand.
	capacityMargin = 1.0
	// idleBeforeMove is how long a VM must be empty before another pool gets it.
	idleBeforeMove = 250 * time.Millisecond
	// idleBeforeSpare is how long a VM must be empty before it is switched off.
	idleBeforeSpare = time.Second
	// minPoolVMs is how many VMs a pool always keeps.
	minPoolVMs = 3
	// placementStallTime is how long a task may wait despite apparent free capacity
	// before the pool gets another VM.
	placementStallTime = 500 * time.Millisecond
	// highUtilization is the utilization from which a pool is highly utilized.
	highUtilization = 0.85
)

// poolState is a pool's current capacity and demand.
type poolState struct {
	name string
	// vms are up; incoming counts VMs that are being moved or maintained.
	vms      []*vm
	incoming int
	// capacity is that of the VMs, incoming ones included; demand is the CPU used and
	// requested. Both in millicores.
	capacity int64
	demand   int64
	// running, waiting and arriving are the parts of the demand: running tasks, waiting
	// tasks that can be on time, and the load offered by arrivals.
	running, waiting, arriving int64
	// runningLate is the part of running whose jobs could only be late when it was
	// placed.
	runningLate int64
	// vacating is the free CPU of VMs that are emptied for other pools: capacity lacks
	// it, the fleet does not.
	vacating int64
	// lasting is the part of the demand of tasks that run until they are cancelled.
	lasting int64
	// limited reports that the fleet is short and the demand is limited to entitled: what
	// the teams that use the pool are entitled to, long-running tasks included.
	limited  bool
	entitled int64
	// priority is the lowest priority number among the pool's demands, if it has any in
	// a short fleet.
	priority    int
	hasPriority bool
	// vmCapacity is the CPU of one VM.
	vmCapacity int64
	// minSeparateVMs is how many VMs a step needs whose tasks must not share one;
	// draining is how many of vms get no new tasks because they are to be moved or
	// maintained.
	minSeparateVMs int
	draining       int
	// evacuated is how many of vms are in a zone being evacuated; they also count as
	// draining.
	evacuated int
	// placementStalled reports that a task waits for long despite apparent free
	// capacity.
	placementStalled bool
}

// shortage returns how many more VMs the pool could use.
func (p *poolState) shortage() int {
	if p.vmCapacity == 0 {
		return 0
	}
	deficit := int64(float64(p.demand)*capacityMargin) - p.capacity
	needed := 0
	if deficit > 0 {
		needed = int((deficit + p.vmCapacity - 1) / p.vmCapacity)
	}
	if p.placementStalled && p.incoming == 0 {
		needed = max(needed, 1)
	}
	return max(needed, max(p.minSeparateVMs, p.minimumBeforeEvacuation())+p.draining-len(p.vms)-p.incoming)
}

// surplus returns how many VMs the pool could do without.
func (p *poolState) surplus() int {
	if p.vmCapacity == 0 {
		return 0
	}
	excess := (p.capacity - int64(float64(p.demand)*capacityMargin)) / p.vmCapacity
	return max(0, min(int(excess), len(p.vms)+p.incoming-p.draining-max(minPoolVMs, p.minSeparateVMs)))
}

// computePoolStates computes every pool's capacity and demand.
func (s *Scheduler) computePoolStates(now time.Time) map[string]*poolState {
	out := map[string]*poolState{}
	state := func(name string) *poolState {
		p, known := out[name]
		if !known {
			p = &poolState{name: name}
			out[name] = p
		}
		return p
	}
	for _, v := range s.vms {
		if s.evacuatedVM(v) {
			s.countEvacuated(state(v.info.Pool), v)
			continue
		}
		if v.operation != nil && v.operation.Kind == VMMove {
			p := state(v.operation.Pool)
			p.incoming++
			p.capacity += v.info.Capacity.MilliCPU
			p.vmCapacity = v.info.Capacity.MilliCPU
			continue
		}
		p := state(v.info.Pool)
		p.vmCapacity = max(p.vmCapacity, v.info.Capacity.MilliCPU)
		switch {
		case v.info.State == fleet.VMMoving || v.info.State == fleet.VMInMaintenance || v.operation != nil:
			p.incoming++
			p.capacity += v.info.Capacity.MilliCPU
		case v.info.State == fleet.VMUp:
			p.vms = append(p.vms, v)
			w := s.workerOf(v)
			switch {
			case w != nil && w.cordoned:
				p.draining++
				p.capacity += w.used.MilliCPU
				if v.drainFor == VMMove {
					p.vacating += v.info.Capacity.MilliCPU - w.used.MilliCPU
				}
			case w != nil && w.schedulable(now) || s.isSpare(v.info.Pool):
				p.capacity += v.info.Capacity.MilliCPU
			}
		}
	}
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.step.def.BestEffort {
				continue
			}
			p := state(w.info.Pool)
			p.running += t.step.def.Need.MilliCPU
			if t.placedLate {
				p.runningLate += t.step.def.Need.MilliCPU
			}
			if t.step.def.LongRunning {
				p.lasting += t.step.def.Need.MilliCPU
			}
		}
	}
	for _, j := range s.jobs {
		if j.finished {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if per := st.def.MaxPerWorker; per > 0 && st.done < len(st.tasks) {
					p := state(j.queue.Pool)
					p.minSeparateVMs = max(p.minSeparateVMs, (len(st.tasks)-st.done+per-1)/per)
				}
			}
		}
	}
	for name, rate := range s.arrivals.offeredLoad(now) {
		state(name).arriving = rate
	}
	for _, p := range out {
		p.demand = max(p.running, p.arriving)
	}
	for st := range s.ready {
		if p := state(st.occurrence.job.queue.Pool); st.waitingFor(now) > placementStallTime && p.demand < p.capacity {
			p.placementStalled = true
		}
		if st.def.BestEffort || rankOf(st, 0, now).class > classTight {
			continue
		}
		p := state(st.occurrence.job.queue.Pool)
		p.waiting += int64(st.waiting) * st.def.Need.MilliCPU
		p.demand += int64(st.waiting) * st.def.Need.MilliCPU
		if st.def.LongRunning {
			p.lasting += int64(st.waiting) * st.def.Need.MilliCPU
		}
	}
	if s.cfg.Policies.Entitlement {
		s.limitDemands(out, now)
	}
	return out
}

// highlyUtilized reports whether the pool had little free capacity in the last plan.
func (s *Scheduler) highlyUtilized(pool string) bool {
	p, known := s.pools[pool]
	return known && float64(p.demand) > highUtilization*float64(p.capacity)
}

// planPools moves empty VMs to pools whose demand exceeds their capacity, and switches
// off those that no pool has needed for a while. Demand peaks alternate between queues,
// so the capacity that one pool lacks is idle in others.
func (s *Scheduler) planPools(now time.Time) {
	s.pools = s.computePoolStates(now)
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		if _, known := s.manifest.Pools[name]; known && !s.isSpare(name) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, k int) bool {
		return s.pools[names[i]].servedBefore(s.pools[names[k]])
	})
	for _, name := range names {
		need := s.pools[name]
		for range need.shortage() {
			v := s.vacated(name, now)
			if v == nil {
				v = s.donor(name, now)
			}
			if v == nil {
				break
			}
			s.moveTo(v, name, now)
		}
	}
	s.vacate(now)
	s.switchOffIdleVMs(names, now)
	s.reportPools(now)
}

// moveTo moves the VM to the pool and updates the counts.
func (s *Scheduler) moveTo(v *vm, pool string, now time.Time) {
	from, to := s.pools[v.info.Pool], s.pools[pool]
	if v.drainFor == VMMove {
		from.draining-- // Its capacity is not counted any more.
	} else {
		from.capacity -= v.info.Capacity.MilliCPU
	}
	s.drain(v, VMMove, now)
	s.startOperation(v, VMOperation{Kind: VMMove, VM: v.info.Name, Pool: pool}, now)
	to.capacity += v.info.Capacity.MilliCPU
	to.incoming++
	for i, other := range from.vms {
		if other == v {
			from.vms = append(from.vms[:i:i], from.vms[i+1:]...)
			break
		}
	}
}

// switchOffDelay returns how long a VM must be empty before it is switched off. Before
// the first job there is no sign that a VM will be needed soon.
func (s *Scheduler) switchOffDelay() time.Duration {
	if len(s.jobs) == 0 && len(s.previouslyFinished) == 0 {
		return 0
	}
	return idleBeforeSpare
}

// switchOffIdleVMs moves VMs that have been idle for long to the spare pool.
func (s *Scheduler) switchOffIdleVMs(names []string, now time.Time) {
	spare := ""
	for name, p := range s.manifest.Pools {
		if p.Spare && (spare == "" || name < spare) {
			spare = name
		}
	}
	if spare == "" {
		return
	}
	if _, known := s.pools[spare]; !known {
		s.pools[spare] = &poolState{name: spare}
	}
	for _, name := range names {
		p := s.pools[name]
		for range p.surplus() {
			var idle *vm
			for _, v := range p.vms {
				if s.movable(v, now) && now.Sub(v.emptySince) > s.switchOffDelay() && (idle == nil || v.emptySince.Before(idle.emptySince)) {
					idle = v
				}
			}
			if idle == nil {
				break
			}
			s.moveTo(idle, spare, now)
		}
	}
}
