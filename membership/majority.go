package membership

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// PeerStatus is what a reachable member of the control state last said.
type PeerStatus struct {
	// LogReadable means that the member can read the log.
	LogReadable bool
	// NextOffset is the offset that the member applies next.
	NextOffset uint64
	// Leaving members count in no majority any more.
	Leaving bool
	// Removed entries count in no majority that one finds which has not joined.
	Removed bool
	// ControlStaleness is the age of the member's proof that its control state was current
	// at Applied.
	ControlStaleness time.Duration
}

// PeerStatuses returns what the reachable members of the state said, with ages at the
// given time. The state is read before the members.
func PeerStatuses(state *statemachine.State, reachable []Member, now time.Time) []PeerStatus {
	var out []PeerStatus
	for _, member := range reachable {
		entry, ok := state.Entries.Get(member.Incarnation)
		if !ok {
			continue
		}
		out = append(out, PeerStatus{
			LogReadable: member.LastHeartbeat.GetLogReadable(), NextOffset: member.LastHeartbeat.GetApplied(), Leaving: member.LastHeartbeat.GetLeaving(),
			Removed: entry.State == statemachine.EntryRemoved, ControlStaleness: member.ControlStaleness(now),
		})
	}
	return out
}

// IsFreshByPeer reports whether a state that applies the offset next has the proof of
// another member, no older than the bound: what the member knew then is applied
// here, too.
func IsFreshByPeer(next uint64, claims []PeerStatus, bound time.Duration) bool {
	for _, claim := range claims {
		if claim.NextOffset <= next && claim.ControlStaleness <= bound {
			return true
		}
	}
	return false
}

// IsLatestByQuorum reports whether nothing can have been accepted after the offset
// next, though the log cannot be read here: more than half of the entries are
// reachable and stay, and none of those reached can read the log or has applied
// more. A change is accepted once more than half of the entries have applied
// it, so that one of those reached would have. The asking process is one of the
// entries if it has joined.
func IsLatestByQuorum(next uint64, joined bool, entries int, claims []PeerStatus) bool {
	staying := 0
	if joined {
		staying = 1
	}
	for _, claim := range claims {
		if claim.LogReadable || claim.NextOffset > next {
			return false
		}
		if claim.stays(joined) {
			staying++
		}
	}
	return IsMajority(staying, entries)
}

// stays reports whether the claim counts in a majority.
func (c PeerStatus) stays(askerJoined bool) bool {
	return !c.Leaving && (askerJoined || !c.Removed)
}

// IsMajority reports whether count is more than half of the whole.
func IsMajority(count, whole int) bool {
	return 2*count > whole
}
