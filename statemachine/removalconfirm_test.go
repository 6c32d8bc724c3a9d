package statemachine

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEntryRemovalConfirm_Records checks whose removal can be confirmed, and
// that the confirmation names its author and returns no allotment.
func TestEntryRemovalConfirm_Records(t *testing.T) {
	h := newLimitFixture(10)
	require.Nil(t, h.join("a"))
	require.Nil(t, h.join("b"))
	require.Nil(t, h.write("b", &AllotmentAdjust{Team: limitTeam, Delta: 6}))
	confirm := &EntryRemovalConfirm{Incarnation: "b", By: "ana", Reason: "VM deleted"}
	require.Equal(t, ReasonStep, h.write("a", confirm).Reason)
	require.Nil(t, h.write("a", &EntryRemove{Incarnation: "b"}))
	cases := []struct {
		writer  string
		command EntryRemovalConfirm
		want    Reason
	}{
		{"stranger", *confirm, ReasonWriter},
		{"b", *confirm, ReasonWriter},
		{"a", EntryRemovalConfirm{Incarnation: "b", By: "ana"}, ReasonInvalid},
		{"a", EntryRemovalConfirm{Incarnation: "b", Reason: "VM deleted"}, ReasonInvalid},
		{"a", EntryRemovalConfirm{Incarnation: "b", By: "ana", Reason: strings.Repeat("x", maxConfirmationTextBytes+1)}, ReasonInvalid},
		{"a", EntryRemovalConfirm{Incarnation: "c", By: "ana", Reason: "VM deleted"}, ReasonNotFound},
	}
	for _, c := range cases {
		require.Equal(t, c.want, h.write(c.writer, &c.command).Reason)
	}
	require.Nil(t, h.write("a", confirm))
	require.Equal(t, ReasonExists, h.write("a", confirm).Reason)
	entry, _ := h.state.Entries.Get("b")
	require.Equal(t, &RemovalConfirmation{By: "ana", Reason: "VM deleted", Offset: h.state.NextOffset - 2}, entry.RemovalConfirmation)
	require.Equal(t, 6, h.total())
}
