package entry

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/membership"
)

// TestControlView_Current is the truth table of the decision to admit work.
func TestControlView_Current(t *testing.T) {
	const never = time.Duration(math.MaxInt64)
	same := membership.PeerStatus{NextOffset: 7, ControlStaleness: never}
	proof := membership.PeerStatus{NextOffset: 7, ControlStaleness: currentFor, LogReadable: true}
	ahead, behind := proof, proof
	ahead.NextOffset, behind.NextOffset = 8, 6
	rows := []struct {
		name string
		view controlView
		want bool
	}{
		{"young proof", controlView{}, true},
		{"proof at the bound", controlView{wallAge: currentFor, monotonicAge: currentFor}, true},
		{"suspended VM, monotonic clock stopped", controlView{wallAge: time.Hour}, false},
		{"wall clock set back", controlView{wallAge: -time.Hour, monotonicAge: currentFor + 1}, false},
		{"young proof on a foreign log", controlView{faulted: true}, false},
		{"majority on a foreign log", old(controlView{faulted: true, standing: standingMember, entries: 1}), false},
		{"alone of one", old(controlView{standing: standingMember, entries: 1}), true},
		{"alone of two", old(controlView{standing: standingMember, entries: 2}), false},
		{"two of three", old(controlView{standing: standingMember, entries: 3, peers: []membership.PeerStatus{same}}), true},
		{"two of four", old(controlView{standing: standingMember, entries: 4, peers: []membership.PeerStatus{same}}), false},
		{"three of four", old(controlView{standing: standingMember, entries: 4, peers: []membership.PeerStatus{same, same}}), true},
		{"gone", old(controlView{standing: standingGone, entries: 3, peers: []membership.PeerStatus{same, same}}), false},
		{"new, two of three", old(controlView{entries: 3, peers: []membership.PeerStatus{same, same}}), true},
		{"new, two of three, one removed", old(controlView{entries: 3, peers: []membership.PeerStatus{same, {NextOffset: 7, ControlStaleness: never, Removed: true}}}), false},
		{"member, two of four, one removed", old(controlView{standing: standingMember, entries: 4, peers: []membership.PeerStatus{same, {NextOffset: 7, ControlStaleness: never, Removed: true}}}), true},
		{"new, one of three", old(controlView{entries: 3, peers: []membership.PeerStatus{same}}), false},
		{"new, one of two", old(controlView{entries: 2, peers: []membership.PeerStatus{same}}), false},
		{"new to an empty state", old(controlView{}), false},
		{"a peer reads the log", old(controlView{standing: standingMember, entries: 3, peers: []membership.PeerStatus{same, {NextOffset: 7, LogReadable: true, ControlStaleness: never}}}), false},
		{"a peer has applied more", old(controlView{standing: standingMember, entries: 3, peers: []membership.PeerStatus{same, {NextOffset: 8}}}), false},
		{"a peer has applied less", old(controlView{standing: standingMember, entries: 3, peers: []membership.PeerStatus{{NextOffset: 6, ControlStaleness: never}}}), true},
		{"a leaving peer does not count", old(controlView{standing: standingMember, entries: 3, peers: []membership.PeerStatus{{NextOffset: 7, ControlStaleness: never, Leaving: true}}}), false},
		{"a leaving peer has applied more", old(controlView{standing: standingMember, entries: 3, peers: []membership.PeerStatus{same, {NextOffset: 8, ControlStaleness: never, Leaving: true}}}), false},
		{"a peer's proof of the same", old(controlView{standing: standingMember, entries: 9, peers: []membership.PeerStatus{proof}}), true},
		{"a peer's proof of less", old(controlView{standing: standingMember, entries: 9, peers: []membership.PeerStatus{behind}}), true},
		{"a peer's proof of more", old(controlView{standing: standingMember, entries: 2, peers: []membership.PeerStatus{ahead}}), false},
		{"a peer's old proof", old(controlView{standing: standingMember, entries: 2, peers: []membership.PeerStatus{{NextOffset: 7, ControlStaleness: currentFor + 1, LogReadable: true}}}), false},
		{"a peer's proof to one that is gone", old(controlView{standing: standingGone, entries: 9, peers: []membership.PeerStatus{proof}}), false},
		{"a peer's proof to a new one", old(controlView{entries: 9, peers: []membership.PeerStatus{proof}}), true},
		{"a peer's proof on a foreign log", old(controlView{faulted: true, standing: standingMember, entries: 9, peers: []membership.PeerStatus{proof}}), false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { require.Equal(t, row.want, row.view.current()) })
	}
}

// old makes the view's proof too old and its offset 7.
func old(v controlView) controlView {
	v.monotonicAge, v.next = currentFor+1, 7
	return v
}
