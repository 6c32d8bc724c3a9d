package examples

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestEntries_TakeTheDocumentedKey checks the operators' key that
// docs/OPERATIONS.md names.
func TestEntries_TakeTheDocumentedKey(t *testing.T) {
	for _, user := range Users {
		for number := range 8 {
			entry := settings.DefaultEntry()
			require.NoError(t, read(fmt.Sprintf("%s/entry-%d.json", user, number+1), &entry))
			require.Contains(t, entry.OperatorKeyHashes, statemachine.HashKey("example-operator-key"))
		}
	}
}
