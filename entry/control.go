package entry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
)

// maxControlStaleness is the staleness up to which the control state counts as
// current.
const maxControlStaleness = 2 * time.Second

// control is the control stream together with the other entries' reports about
// it.
type control struct {
	*logstream.Stream
	membership *membership.Membership
	self       string
}

// Current implements dispatch.Control.
func (c *control) Current() bool {
	wall, monotonic := c.StalenessByClock()
	v := controlView{wallStaleness: wall, monotonicStaleness: monotonic, failed: c.FatalError() != nil}
	if max(wall, monotonic) > maxControlStaleness {
		c.addPeerStatuses(&v)
	}
	return v.isCurrent()
}

// addPeerStatuses adds the peers' reports, which decide when the own proof is
// stale.
func (c *control) addPeerStatuses(v *controlView) {
	state := c.State()
	v.nextOffset, v.memberCount = state.NextOffset, state.Entries.Len()
	v.status = membershipStatusOf(state, c.self)
	v.peers = c.membership.PeerStatuses(state)
}
