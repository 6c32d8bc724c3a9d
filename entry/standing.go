package entry

import "github.com/anvilcourse/anvilcourse/statemachine"

// standing is what an entry is in a control state.
type standing int

const (
	// standingNew is an entry that has not joined, as one that was started
	// while the log is down. It holds no allotment and counts in no majority.
	standingNew standing = iota
	// standingMember is an entry that has joined.
	standingMember
	// standingGone is an entry that has left or was removed.
	standingGone
)

func standingOf(state *statemachine.State, incarnation string) standing {
	if _, ok := state.Member(incarnation); ok {
		return standingMember
	}
	_, removed := state.Entries.Get(incarnation)
	mark, _ := state.Writers.Get(incarnation)
	if removed || mark.MembershipEnded {
		return standingGone
	}
	return standingNew
}
