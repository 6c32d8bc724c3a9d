package entry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
)

// currentFor is the age up to which the control state counts as current.
const currentFor = 2 * time.Second

// control is the control stream together with what the other entries say of
// it.
type control struct {
	*logstream.Stream
	membership *membership.Membership
	self       string
}

// Current implements dispatch.Control.
func (c *control) Current() bool {
	wall, monotonic := c.StalenessByClock()
	v := controlView{wallAge: wall, monotonicAge: monotonic, faulted: c.FatalError() != nil}
	if max(wall, monotonic) > currentFor {
		c.addPeers(&v)
	}
	return v.current()
}

// addPeers adds what decides while there is no young proof.
func (c *control) addPeers(v *controlView) {
	state := c.State()
	v.next, v.entries = state.NextOffset, state.Entries.Len()
	v.standing = standingOf(state, c.self)
	v.peers = c.membership.PeerStatuses(state)
}
