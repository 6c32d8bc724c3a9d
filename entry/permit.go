package entry

import (
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/settings"
)

// permit implements quota.Permit and quota.Peers.
type permit struct {
	self       string
	zone       string
	control    *control
	membership *membership.Membership
}

func newPermit(s settings.Entry, id identity, c *control, m *membership.Membership) *permit {
	return &permit{self: id.incarnation, zone: s.AvailabilityZone, control: c, membership: m}
}

// MayUseAllotment implements quota.Permit.
func (p *permit) MayUseAllotment() bool {
	if _, ok := p.control.State().Member(p.self); !ok {
		return false
	}
	return p.control.Current()
}

// AppliedOffsets implements quota.Peers.
func (p *permit) AppliedOffsets() map[string]uint64 {
	out := make(map[string]uint64)
	for _, member := range p.membership.Reachable() {
		out[member.Incarnation] = member.LastHeartbeat.GetApplied()
	}
	return out
}

// Lenders implements quota.Peers.
func (p *permit) Lenders(team string) []quota.Peer {
	var out []quota.Peer
	for _, member := range p.membership.Reachable() {
		if member.Incarnation == p.self || member.LastHeartbeat.GetLeaving() {
			continue
		}
		out = append(out, quota.Peer{
			Incarnation: member.Incarnation, Address: member.Address,
			SameZone: member.LastHeartbeat.GetAvailabilityZone() == p.zone, Spare: spareOf(member.LastHeartbeat, team),
		})
	}
	return out
}

func spareOf(heartbeat *peerpb.Heartbeat, team string) int {
	for _, load := range heartbeat.GetTeams() {
		if load.GetTeam() == team {
			return int(load.GetSpare())
		}
	}
	return 0
}
