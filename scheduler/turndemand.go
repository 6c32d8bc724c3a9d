package scheduler

// turnDemand is what a pool needs once its present runs have ended: the load that arrives,
// or the steps that follow those runs, and the waiting work that can be on time.
//
// It answers the end of a queue's turn: its runs hold all VMs, but little comes after
// them. VMs that are vacated then lose nothing: their runs end there.
type turnDemand struct {
	// open is the CPU of the VMs that get new tasks, incoming ones included, free what of
	// it is free. Both in millicores.
	open, free int64
	// following is the CPU of steps that start once running ones of jobs that can be on
	// time have ended.
	following int64
}

// turnDemands computes the demand of each pool after its present runs.
func (c *consolidation) turnDemands() map[string]*turnDemand {
	out := make(map[string]*turnDemand, len(c.s.pools))
	for name, p := range c.s.pools {
		d := &turnDemand{open: int64(p.incoming) * p.vmCapacity}
		for _, v := range p.vms {
			if w := c.s.workerOf(v); w != nil && w.schedulable(c.now) {
				d.open += v.info.Capacity.MilliCPU
				d.free += max(0, w.free().MilliCPU)
			}
		}
		out[name] = d
	}
	for _, j := range c.s.jobs {
		d, known := out[j.queue.Pool]
		if !known || j.finished || j.longRunning {
			continue
		}
		for _, o := range j.occurrences {
			if need := o.followingNeed(); need > 0 && c.slackOf(o) >= 0 {
				d.following += need
			}
		}
	}
	return out
}

// followingNeed returns the CPU of the steps that start once running ones have ended, in
// millicores.
func (o *occurrence) followingNeed() int64 {
	need := int64(0)
	for _, st := range o.steps {
		if st.pendingDependencies == 0 || st.waiting == 0 {
			continue
		}
		next := true
		for _, dependency := range st.def.DependsOn {
			next = next && o.steps[dependency].waiting == 0
		}
		if next {
			need += int64(st.waiting) * st.def.Need.MilliCPU
		}
	}
	return need
}

// surplus returns how many more VMs the pool can do without. While work that can be on
// time waits for more than is free, its runs count as demand.
func (c *consolidation) surplus(name string) int {
	p, d := c.s.pools[name], c.demands[name]
	if p.vmCapacity == 0 {
		return 0
	}
	if p.waiting > d.free {
		return p.surplusOnTime()
	}
	excess := (d.open - max(p.arriving, d.following) - p.waiting) / p.vmCapacity
	return max(0, min(int(excess), len(p.vms)+p.incoming-p.draining-max(minPoolVMs, p.minSeparateVMs)))
}

// lacking returns how many VMs the pool needs back for work that can be on time.
func (c *consolidation) lacking(name string) int {
	p, d := c.s.pools[name], c.demands[name]
	if p.vmCapacity == 0 {
		return 0
	}
	deficit := max(p.arriving, d.following) + p.waiting - d.open
	return max(0, int((deficit+p.vmCapacity-1)/p.vmCapacity), p.minSeparateVMs+p.draining-len(p.vms)-p.incoming)
}
