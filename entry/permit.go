package entry

import "github.com/anvilcourse/anvilcourse/membership"

// permit implements quota.Permit and quota.Peers.
type permit struct {
	self       string
	control    *control
	membership *membership.Membership
}

func newPermit(id identity, c *control, m *membership.Membership) *permit {
	return &permit{self: id.incarnation, control: c, membership: m}
}

// MayUseAllotment implements quota.Permit.
func (p *permit) MayUseAllotment() bool {
	if _, ok := p.control.State().Member(p.self); !ok {
		return false
	}
	return p.control.Current()
}

// Applied implements quota.Peers.
func (p *permit) Applied() map[string]uint64 {
	out := make(map[string]uint64)
	for _, member := range p.membership.Reachable() {
		out[member.Incarnation] = member.Last.GetApplied()
	}
	return out
}
