package statemachine

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRemoval_Records checks which records of a removed entry apply, and that
// only the writer position of a reclaimed one is left.
func TestRemoval_Records(t *testing.T) {
	h := newLimitFixture(10)
	require.Nil(t, h.join("a"))
	require.Nil(t, h.join("b"))
	require.Nil(t, h.write("b", &AllotmentAdjust{Team: limitTeam, Delta: 6}))
	require.Equal(t, ReasonWriter, h.write("stranger", &EntryRemove{Incarnation: "b"}).Reason)
	require.Equal(t, ReasonWriter, h.write("b", &EntryRemove{Incarnation: "b"}).Reason)
	require.Equal(t, ReasonNotFound, h.write("a", &EntryReclaim{Incarnation: "b"}).Reason)
	require.Nil(t, h.write("a", &EntryRemove{Incarnation: "b"}))
	require.Equal(t, 6, h.total())
	entry, _ := h.state.Entries.Get("b")
	require.Equal(t, EntryRemoved, entry.State)
	require.Equal(t, h.state.NextOffset-1, entry.RemovedAt)
	for _, command := range []Command{
		&AllotmentAdjust{Team: limitTeam, Held: 6, Delta: 1}, &EntryRemove{Incarnation: "a"},
		&EntryAck{Version: h.state.MembershipVersion}, &EntryReclaim{Incarnation: "b"},
	} {
		require.Equal(t, ReasonWriter, h.write("b", command).Reason, "%s", command.Kind())
	}
	require.Equal(t, ReasonExists, h.join("b").Reason)
	require.Nil(t, h.write("a", &EntryReclaim{Incarnation: "b"}))
	require.Zero(t, h.total())
	_, ok := h.state.Entries.Get("b")
	require.False(t, ok)
	require.Equal(t, ReasonExists, h.join("b").Reason)
	require.Equal(t, ReasonNotFound, h.write("a", &EntryReclaim{Incarnation: "b"}).Reason)
}

// TestEntry_SnapshotKeepsElectorate checks the JSON encoding of an entry.
func TestEntry_SnapshotKeepsElectorate(t *testing.T) {
	h := newLimitFixture(1)
	require.Nil(t, h.join("a"))
	require.Nil(t, h.join("b"))
	require.Nil(t, h.write("b", &EntryLeave{Incarnation: "b"}))
	raw, err := json.Marshal(h.state)
	require.NoError(t, err)
	restored := New()
	require.NoError(t, json.Unmarshal(raw, restored))
	want, _ := h.state.Entries.Get("a")
	got, _ := restored.Entries.Get("a")
	require.Equal(t, want, got)
	require.Equal(t, Electorate{Size: 1, Balance: 0, MinBalance: 0}, got.Electorate)
}
