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
	proof := membership.PeerStatus{NextOffset: 7, ControlStaleness: maxControlStaleness, LogReadable: true}
	ahead, behind := proof, proof
	ahead.NextOffset, behind.NextOffset = 8, 6
	rows := []struct {
		name string
		view controlView
		want bool
	}{
		{"fresh proof", controlView{}, true},
		{"proof at the bound", controlView{wallStaleness: maxControlStaleness, monotonicStaleness: maxControlStaleness}, true},
		{"suspended VM, monotonic clock stopped", controlView{wallStaleness: time.Hour}, false},
		{"wall clock set back", controlView{wallStaleness: -time.Hour, monotonicStaleness: maxControlStaleness + 1}, false},
		{"fresh proof on a mismatched log", controlView{failed: true}, false},
		{"majority on a mismatched log", makeStale(controlView{failed: true, status: statusMember, memberCount: 1}), false},
		{"one of one", makeStale(controlView{status: statusMember, memberCount: 1}), true},
		{"one of two", makeStale(controlView{status: statusMember, memberCount: 2}), false},
		{"two of three", makeStale(controlView{status: statusMember, memberCount: 3, peers: []membership.PeerStatus{same}}), true},
		{"two of four", makeStale(controlView{status: statusMember, memberCount: 4, peers: []membership.PeerStatus{same}}), false},
		{"three of four", makeStale(controlView{status: statusMember, memberCount: 4, peers: []membership.PeerStatus{same, same}}), true},
		{"membership ended", makeStale(controlView{status: statusEnded, memberCount: 3, peers: []membership.PeerStatus{same, same}}), false},
		{"not joined, two of three", makeStale(controlView{memberCount: 3, peers: []membership.PeerStatus{same, same}}), true},
		{"not joined, two of three, one removed", makeStale(controlView{memberCount: 3, peers: []membership.PeerStatus{same, {NextOffset: 7, ControlStaleness: never, Removed: true}}}), false},
		{"member, two of four, one removed", makeStale(controlView{status: statusMember, memberCount: 4, peers: []membership.PeerStatus{same, {NextOffset: 7, ControlStaleness: never, Removed: true}}}), true},
		{"not joined, one of three", makeStale(controlView{memberCount: 3, peers: []membership.PeerStatus{same}}), false},
		{"not joined, one of two", makeStale(controlView{memberCount: 2, peers: []membership.PeerStatus{same}}), false},
		{"not joined, empty state", makeStale(controlView{}), false},
		{"a peer reads the log", makeStale(controlView{status: statusMember, memberCount: 3, peers: []membership.PeerStatus{same, {NextOffset: 7, LogReadable: true, ControlStaleness: never}}}), false},
		{"a peer is ahead", makeStale(controlView{status: statusMember, memberCount: 3, peers: []membership.PeerStatus{same, {NextOffset: 8}}}), false},
		{"a peer lags", makeStale(controlView{status: statusMember, memberCount: 3, peers: []membership.PeerStatus{{NextOffset: 6, ControlStaleness: never}}}), true},
		{"a leaving peer does not count", makeStale(controlView{status: statusMember, memberCount: 3, peers: []membership.PeerStatus{{NextOffset: 7, ControlStaleness: never, Leaving: true}}}), false},
		{"a leaving peer is ahead", makeStale(controlView{status: statusMember, memberCount: 3, peers: []membership.PeerStatus{same, {NextOffset: 8, ControlStaleness: never, Leaving: true}}}), false},
		{"proof of a peer at the same offset", makeStale(controlView{status: statusMember, memberCount: 9, peers: []membership.PeerStatus{proof}}), true},
		{"proof of a lagging peer", makeStale(controlView{status: statusMember, memberCount: 9, peers: []membership.PeerStatus{behind}}), true},
		{"proof of a peer that is ahead", makeStale(controlView{status: statusMember, memberCount: 2, peers: []membership.PeerStatus{ahead}}), false},
		{"stale proof of a peer", makeStale(controlView{status: statusMember, memberCount: 2, peers: []membership.PeerStatus{{NextOffset: 7, ControlStaleness: maxControlStaleness + 1, LogReadable: true}}}), false},
		{"proof of a peer, membership ended", makeStale(controlView{status: statusEnded, memberCount: 9, peers: []membership.PeerStatus{proof}}), false},
		{"proof of a peer, not joined", makeStale(controlView{memberCount: 9, peers: []membership.PeerStatus{proof}}), true},
		{"proof of a peer on a mismatched log", makeStale(controlView{failed: true, status: statusMember, memberCount: 9, peers: []membership.PeerStatus{proof}}), false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { require.Equal(t, row.want, row.view.isCurrent()) })
	}
}

// makeStale sets the view's proof too old and its offset to 7.
func makeStale(v controlView) controlView {
	v.monotonicStaleness, v.nextOffset = maxControlStaleness+1, 7
	return v
}
