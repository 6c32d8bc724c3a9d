package membership

import "github.com/anvilcourse/anvilcourse/statemachine"

// NothingNew reports whether more than half of the entries of the state, the
// asking one included, are reachable and stay, and none of those reached can
// read the log or has applied more. Without the log nothing new can have been
// accepted then. The state is read before the members.
func NothingNew(state *statemachine.State, reachable []Member) bool {
	reached := 1
	for _, member := range reachable {
		if _, ok := state.Entries.Get(member.Incarnation); !ok {
			continue
		}
		if member.Last.GetLogReadable() || member.Last.GetApplied() > state.Next {
			return false
		}
		if !member.Last.GetLeaving() {
			reached++
		}
	}
	return 2*reached > state.Entries.Len()
}
