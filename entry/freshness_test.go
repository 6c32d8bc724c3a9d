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
	same := membership.Claim{Applied: 7, Age: never}
	proof := membership.Claim{Applied: 7, Age: currentFor, Readable: true}
	ahead, behind := proof, proof
	ahead.Applied, behind.Applied = 8, 6
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
		{"two of three", old(controlView{standing: standingMember, entries: 3, peers: []membership.Claim{same}}), true},
		{"two of four", old(controlView{standing: standingMember, entries: 4, peers: []membership.Claim{same}}), false},
		{"three of four", old(controlView{standing: standingMember, entries: 4, peers: []membership.Claim{same, same}}), true},
		{"gone", old(controlView{standing: standingGone, entries: 3, peers: []membership.Claim{same, same}}), false},
		{"new, two of three", old(controlView{entries: 3, peers: []membership.Claim{same, same}}), true},
		{"new, two of three, one removed", old(controlView{entries: 3, peers: []membership.Claim{same, {Applied: 7, Age: never, Removed: true}}}), false},
		{"member, two of four, one removed", old(controlView{standing: standingMember, entries: 4, peers: []membership.Claim{same, {Applied: 7, Age: never, Removed: true}}}), true},
		{"new, one of three", old(controlView{entries: 3, peers: []membership.Claim{same}}), false},
		{"new, one of two", old(controlView{entries: 2, peers: []membership.Claim{same}}), false},
		{"new to an empty state", old(controlView{}), false},
		{"a peer reads the log", old(controlView{standing: standingMember, entries: 3, peers: []membership.Claim{same, {Applied: 7, Readable: true, Age: never}}}), false},
		{"a peer has applied more", old(controlView{standing: standingMember, entries: 3, peers: []membership.Claim{same, {Applied: 8}}}), false},
		{"a peer has applied less", old(controlView{standing: standingMember, entries: 3, peers: []membership.Claim{{Applied: 6, Age: never}}}), true},
		{"a leaving peer does not count", old(controlView{standing: standingMember, entries: 3, peers: []membership.Claim{{Applied: 7, Age: never, Leaving: true}}}), false},
		{"a leaving peer has applied more", old(controlView{standing: standingMember, entries: 3, peers: []membership.Claim{same, {Applied: 8, Age: never, Leaving: true}}}), false},
		{"a peer's proof of the same", old(controlView{standing: standingMember, entries: 9, peers: []membership.Claim{proof}}), true},
		{"a peer's proof of less", old(controlView{standing: standingMember, entries: 9, peers: []membership.Claim{behind}}), true},
		{"a peer's proof of more", old(controlView{standing: standingMember, entries: 2, peers: []membership.Claim{ahead}}), false},
		{"a peer's old proof", old(controlView{standing: standingMember, entries: 2, peers: []membership.Claim{{Applied: 7, Age: currentFor + 1, Readable: true}}}), false},
		{"a peer's proof to one that is gone", old(controlView{standing: standingGone, entries: 9, peers: []membership.Claim{proof}}), false},
		{"a peer's proof to a new one", old(controlView{entries: 9, peers: []membership.Claim{proof}}), true},
		{"a peer's proof on a foreign log", old(controlView{faulted: true, standing: standingMember, entries: 9, peers: []membership.Claim{proof}}), false},
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
