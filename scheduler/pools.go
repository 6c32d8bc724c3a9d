package scheduler

import (
	"sort"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

const (
	// moveMargin is how much more room than its demand a pool gets.
	moveMargin = 1.0
	// idleBeforeMove is how long a VM must be empty before it is given away.
	idleBeforeMove = 250 * time.Millisecond
	// idleBeforeSpare is how long a VM must be empty before it is switched off.
	idleBeforeSpare = time.Second
	// poolFloor is how many VMs a pool always keeps.
	poolFloor = 3
	// unplacedFor is how long a task may wait in a pool that seems to have room
	// before the pool gets another VM.
	unplacedFor = 500 * time.Millisecond
	// hotShare is the use of a pool's room from which it counts as hot.
	hotShare = 0.85
)

// poolState is what a pool has and needs at the moment.
type poolState struct {
	name string
	// vms are up with a usable worker, incoming are on their way.
	vms      []*vm
	incoming int
	// capacity is that of the VMs, incoming ones included; demand is the room
	// taken and asked for. Both in thousandths of a core.
	capacity int64
	demand   int64
	// running, waiting and arriving are the parts of the demand: what runs, what
	// waits and can be on time, and what it takes to keep up with arrivals.
	running, waiting, arriving int64
	// perVM is the room of one VM.
	perVM int64
	// apart is how many VMs a step needs whose tasks must not share one, leaving is how
	// many of vms get no new work because they are to be moved or maintained.
	apart   int
	leaving int
	// stuck tells that a task has waited for long though there seems to be room.
	stuck bool
}

// short returns how many more VMs the pool could use.
func (p *poolState) short() int {
	if p.perVM == 0 {
		return 0
	}
	lack := int64(float64(p.demand)*moveMargin) - p.capacity
	byRoom := 0
	if lack > 0 {
		byRoom = int((lack + p.perVM - 1) / p.perVM)
	}
	if p.stuck && p.incoming == 0 {
		byRoom = max(byRoom, 1)
	}
	return max(byRoom, p.apart+p.leaving-len(p.vms)-p.incoming)
}

// spareVMs returns how many VMs the pool could do without.
func (p *poolState) surplus() int {
	if p.perVM == 0 {
		return 0
	}
	over := (p.capacity - int64(float64(p.demand)*moveMargin)) / p.perVM
	return max(0, min(int(over), len(p.vms)+p.incoming-p.leaving-max(poolFloor, p.apart)))
}

// poolStates works out what every pool has and needs.
func (s *Scheduler) poolStates(now time.Time) map[string]*poolState {
	out := map[string]*poolState{}
	at := func(name string) *poolState {
		p, known := out[name]
		if !known {
			p = &poolState{name: name}
			out[name] = p
		}
		return p
	}
	for _, v := range s.vms {
		if v.ordered != nil && v.ordered.Kind == VMMove {
			p := at(v.ordered.Pool)
			p.incoming++
			p.capacity += v.info.Capacity.MilliCPU
			p.perVM = v.info.Capacity.MilliCPU
			continue
		}
		p := at(v.info.Pool)
		p.perVM = max(p.perVM, v.info.Capacity.MilliCPU)
		switch {
		case v.info.State == fleet.VMMoving || v.info.State == fleet.VMInMaintenance || v.ordered != nil:
			p.incoming++
			p.capacity += v.info.Capacity.MilliCPU
		case v.info.State == fleet.VMUp:
			p.vms = append(p.vms, v)
			w := s.workerOf(v)
			switch {
			case w != nil && w.cordoned:
				p.leaving++
				p.capacity += w.used.MilliCPU
			case w != nil && w.usable(now) || s.isSpare(v.info.Pool):
				p.capacity += v.info.Capacity.MilliCPU
			}
		}
	}
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if !t.step.def.BestEffort {
				at(w.info.Pool).running += t.step.def.Need.MilliCPU
			}
		}
	}
	for _, j := range s.jobs {
		if j.ended {
			continue
		}
		for _, o := range j.live {
			for _, st := range o.steps {
				if per := st.def.MaxPerWorker; per > 0 && st.done < len(st.tasks) {
					p := at(j.queue.Pool)
					p.apart = max(p.apart, (len(st.tasks)-st.done+per-1)/per)
				}
			}
		}
	}
	for name, rate := range s.arrivals.rates(now) {
		at(name).arriving = rate
	}
	for _, p := range out {
		p.demand = max(p.running, p.arriving)
	}
	for st := range s.ready {
		if p := at(st.run.job.queue.Pool); st.waitingSince(now) > unplacedFor && p.demand < p.capacity {
			p.stuck = true
		}
		if st.def.BestEffort || rankOf(st, now).class > 1 {
			continue
		}
		p := at(st.run.job.queue.Pool)
		p.waiting += int64(st.waiting) * st.def.Need.MilliCPU
		p.demand += int64(st.waiting) * st.def.Need.MilliCPU
	}
	return out
}

// hot reports whether the pool had little room at the last look at all pools.
func (s *Scheduler) hot(pool string) bool {
	p, known := s.pools[pool]
	return known && float64(p.demand) > hotShare*float64(p.capacity)
}

// planPools moves empty VMs to pools whose demand is larger than their room,
// and switches off those that no pool has needed for a while. Demand turns
// between the queues, so that what one pool lacks lies idle in the others.
func (s *Scheduler) planPools(now time.Time) {
	s.pools = s.poolStates(now)
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		if _, known := s.manifest.Pools[name]; known && !s.isSpare(name) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, k int) bool {
		if a, b := s.pools[names[i]].short(), s.pools[names[k]].short(); a != b {
			return a > b
		}
		return names[i] < names[k]
	})
	for _, name := range names {
		need := s.pools[name]
		for range need.short() {
			v := s.donor(name, now)
			if v == nil {
				break
			}
			s.moveTo(v, name, now)
		}
	}
	s.switchOff(names, now)
	s.reportPools(now)
}

// moveTo orders the VM to the pool and keeps the counts.
func (s *Scheduler) moveTo(v *vm, pool string, now time.Time) {
	from, to := s.pools[v.info.Pool], s.pools[pool]
	s.drain(v, VMMove, now)
	s.order(v, VMOperation{Kind: VMMove, VM: v.info.Name, Pool: pool}, now)
	from.capacity -= v.info.Capacity.MilliCPU
	to.capacity += v.info.Capacity.MilliCPU
	to.incoming++
	for i, other := range from.vms {
		if other == v {
			from.vms = append(from.vms[:i:i], from.vms[i+1:]...)
			break
		}
	}
}

// donor returns a VM that can go to the pool, or nil: one that runs in a pool
// with more than it needs, or one that is off.
func (s *Scheduler) donor(to string, now time.Time) *vm {
	var best *vm
	for _, p := range s.pools {
		if p.name == to || !s.isSpare(p.name) && p.surplus() == 0 {
			continue
		}
		for _, v := range p.vms {
			if !s.movable(v, now) {
				continue
			}
			if best == nil || s.betterDonor(v, best) {
				best = v
			}
		}
	}
	return best
}

// betterDonor prefers VMs that run and are idle to those that are off, and VMs
// whose maintenance is over.
func (s *Scheduler) betterDonor(a, b *vm) bool {
	if spareA, spareB := s.isSpare(a.info.Pool), s.isSpare(b.info.Pool); spareA != spareB {
		return spareB
	}
	if !a.emptySince.Equal(b.emptySince) {
		return a.emptySince.Before(b.emptySince)
	}
	return a.info.Name < b.info.Name
}

// movable reports whether the VM is up and empty and no order is under way.
func (s *Scheduler) movable(v *vm, now time.Time) bool {
	if !s.orderable(v, now) || v.draining != VMNoOperation || v.emptySince.IsZero() {
		return false
	}
	if w := s.workerOf(v); w != nil && (w.info.Draining || !w.looked || w.missed > 0) {
		return false
	}
	return s.isSpare(v.info.Pool) || now.Sub(v.emptySince) >= idleBeforeMove
}

// idleBeforeSpare returns how long a VM must be empty before it is switched off.
// Before the first job nothing tells that a VM will be needed soon.
func (s *Scheduler) idleBeforeSpare() time.Duration {
	if len(s.jobs) == 0 && len(s.past) == 0 {
		return 0
	}
	return idleBeforeSpare
}

// switchOff moves VMs that have been idle for long to the spare pool.
func (s *Scheduler) switchOff(names []string, now time.Time) {
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
				if s.movable(v, now) && now.Sub(v.emptySince) > s.idleBeforeSpare() && (idle == nil || v.emptySince.Before(idle.emptySince)) {
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
