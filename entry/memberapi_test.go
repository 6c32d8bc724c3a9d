package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestRemovedEntries checks that only removed entries count.
func TestRemovedEntries(t *testing.T) {
	state := statemachine.New()
	require.Zero(t, countRemovedEntries(state))
	state.Entries = state.Entries.Set("a", &statemachine.Entry{State: statemachine.EntryJoined})
	state.Entries = state.Entries.Set("b", &statemachine.Entry{State: statemachine.EntryRemoved})
	require.Equal(t, 1, countRemovedEntries(state))
}
