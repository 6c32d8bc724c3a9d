package membership

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// PeerStatus is the status last reported by a reachable member of the control
// state.
type PeerStatus struct {
	// LogReadable means that the member can read the log.
	LogReadable bool
	// NextOffset is the next offset that the member applies.
	NextOffset uint64
	// Leaving members no longer count in a majority.
	Leaving bool
	// Removed entries count in no majority of a process that has not joined.
	Removed bool
	// ControlStaleness is the age of the member's proof that its control state
	// was current at NextOffset.
	ControlStaleness time.Duration
}

// PeerStatuses returns the status of the reachable members of the state, with
// the staleness at the given time. The state is read before the members.
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

// IsFreshByPeer reports whether a member that is not ahead of the next offset
// proves the state current, no longer ago than the bound: all that the member
// had applied is applied here, too.
func IsFreshByPeer(next uint64, statuses []PeerStatus, bound time.Duration) bool {
	for _, status := range statuses {
		if status.NextOffset <= next && status.ControlStaleness <= bound {
			return true
		}
	}
	return false
}

// IsLatestByQuorum reports whether no change can have been accepted after the
// offset next, though the log cannot be read here: more than half of the
// entries are reachable and not leaving, and none of those reached can read the
// log or is ahead. A change is accepted once more than half of the entries have
// applied it, so one of those reached would have. The calling process is one of
// the entries if it has joined.
func IsLatestByQuorum(next uint64, joined bool, entries int, statuses []PeerStatus) bool {
	staying := 0
	if joined {
		staying = 1
	}
	for _, status := range statuses {
		if status.LogReadable || status.NextOffset > next {
			return false
		}
		if status.countsInMajority(joined) {
			staying++
		}
	}
	return IsMajority(staying, entries)
}

// countsInMajority reports whether the member counts in a majority.
func (s PeerStatus) countsInMajority(selfJoined bool) bool {
	return !s.Leaving && (selfJoined || !s.Removed)
}

// IsMajority reports whether count is more than half of the whole.
func IsMajority(count, whole int) bool {
	return 2*count > whole
}
