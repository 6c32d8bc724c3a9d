package entry

import "github.com/anvilcourse/anvilcourse/statemachine"

// membershipStatus is the status of an entry in a control state.
type membershipStatus int

const (
	// statusNotJoined is an entry that has not joined, such as one started while
	// the log is unavailable. It holds no allotment and counts in no majority.
	statusNotJoined membershipStatus = iota
	// statusMember is an entry that has joined.
	statusMember
	// statusEnded is an entry that has left or was removed.
	statusEnded
)

func membershipStatusOf(state *statemachine.State, incarnation string) membershipStatus {
	if _, ok := state.Member(incarnation); ok {
		return statusMember
	}
	_, removed := state.Entries.Get(incarnation)
	position, _ := state.Writers.Get(incarnation)
	if removed || position.MembershipEnded {
		return statusEnded
	}
	return statusNotJoined
}
