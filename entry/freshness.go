package entry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/membership"
)

// controlView holds the inputs of the decision whether an entry's control state
// is current.
type controlView struct {
	// wallStaleness and monotonicStaleness are the ages by either clock of
	// the latest proof that the state was current. The monotonic clock stops while
	// a VM is suspended, and the wall clock may be set back.
	wallStaleness, monotonicStaleness time.Duration
	// failed means that the log's offsets no longer match those of the state.
	failed bool
	// status is the membership status of this entry in its control state.
	status membershipStatus
	// nextOffset is the next offset that this entry applies.
	nextOffset uint64
	// memberCount is the number of members of the control state.
	memberCount int
	// peers are the other members of the control state that are reachable. They
	// are set only in a view without a fresh proof of its own.
	peers []membership.PeerStatus
}

// isCurrent reports whether keyed work may be admitted. It may with a fresh proof,
// the own one or that of a member that is not ahead. Without one it may only
// while this entry reaches more than half of the members, itself included if it
// is one, and none of them can read the log or is ahead: a change is accepted
// once more than half of the members have applied it, so one of those reached
// would have.
func (v controlView) isCurrent() bool {
	if v.failed {
		return false
	}
	if max(v.wallStaleness, v.monotonicStaleness) <= maxControlStaleness {
		return true
	}
	if v.status == statusEnded {
		return false
	}
	return membership.IsFreshByPeer(v.nextOffset, v.peers, maxControlStaleness) ||
		membership.IsLatestByQuorum(v.nextOffset, v.status == statusMember, v.memberCount, v.peers)
}
