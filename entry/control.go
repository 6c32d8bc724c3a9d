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
}

// Current implements dispatch.Control. The state is current if this entry has
// read the end of the stream lately. Without the log it is current only while
// more than half of the entries, this one included, are reachable, stay and none of
// them can read the log or has applied more: then nothing new can have been
// accepted.
func (c *control) Current() bool {
	if c.Age() <= currentFor {
		return true
	}
	return membership.NothingNew(c.State(), c.membership.Reachable())
}
