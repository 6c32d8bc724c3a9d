package quota

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// fixedPeers implements Peers with fixed applied offsets.
type fixedPeers map[string]uint64

func (p fixedPeers) AppliedOffsets() map[string]uint64 { return p }
func (p fixedPeers) Lenders(string) []Peer             { return nil }

// TestReclaimer_RestartsWhenRemovedEntryResponds checks that the wait after an
// operator's removal confirmation restarts if the entry responds.
func TestReclaimer_RestartsWhenRemovedEntryResponds(t *testing.T) {
	log := newFakeLog(t, 1, "a", "b", "c")
	require.Nil(t, log.write("a", &statemachine.EntryRemove{Incarnation: "c"}).Rejection)
	peers, clock := fixedPeers{}, clockwork.NewFakeClock()
	reclaimer := NewReclaimer("a", nil, peers, nil, testBounds, clock, hclog.NewNullLogger())
	excluded := func() bool {
		entry, _ := log.state.Entries.Get("c")
		reclaimer.advance(context.Background(), log.state, entry)
		return !reclaimer.removed["c"].excludedAt.IsZero()
	}
	require.False(t, excluded(), "it may still reach b")
	require.Nil(t, log.write("a", &statemachine.EntryRemovalConfirm{Incarnation: "c", By: "ana", Reason: "VM deleted"}).Rejection)
	require.True(t, excluded())
	peers["c"] = 0
	require.False(t, excluded())
	delete(peers, "c")
	require.True(t, excluded())
	require.Equal(t, clock.Now(), reclaimer.removed["c"].excludedAt)
}
