package entry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/membership"
)

// controlView is what one entry knows when it decides whether its control
// state is current.
type controlView struct {
	// wallAge and monotonicAge are the ages of the latest proof by either
	// clock. The monotonic clock stops while a VM is suspended, and the wall
	// clock may be set back.
	wallAge, monotonicAge time.Duration
	// faulted means that the log's offsets are no longer those of the state.
	faulted bool
	// standing is what this entry is in its control state.
	standing standing
	// next is the offset that this entry applies next.
	next uint64
	// entries is the number of members of the control state.
	entries int
	// peers are the other members of the control state that are reachable. They
	// are asked only for a view without a young proof of its own.
	peers []membership.PeerStatus
}

// current reports whether keyed work may be admitted. It may with a young proof,
// be it the own one or that of a member that has applied no more. Without one it
// may only while this entry reaches more than half of the members, itself
// included if it is one, and none of them can read the log or has applied more: a change is
// accepted once more than half of the members have applied it, so that one of
// those reached would have.
func (v controlView) current() bool {
	if v.faulted {
		return false
	}
	if max(v.wallAge, v.monotonicAge) <= currentFor {
		return true
	}
	if v.standing == standingGone {
		return false
	}
	return membership.IsFreshByPeer(v.next, v.peers, currentFor) ||
		membership.IsLatestByQuorum(v.next, v.standing == standingMember, v.entries, v.peers)
}
