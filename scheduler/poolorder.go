package scheduler

// servedBefore orders the pools that get VMs: in a fleet that is short by priority, then by
// the largest shortage.
func (p *poolState) servedBefore(other *poolState) bool {
	if p.limited && other.limited && p.hasPriority && other.hasPriority && p.priority != other.priority {
		return p.priority < other.priority
	}
	if a, b := p.shortage(), other.shortage(); a != b {
		return a > b
	}
	return p.name < other.name
}
