package freeport_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/freeport"
)

// TestAddresses_NoDuplicates requests as many addresses as the tests of a package
// do before any process listens: two entries with one address fail to start.
func TestAddresses_NoDuplicates(t *testing.T) {
	seen := map[string]bool{}
	for range 700 {
		addresses, err := freeport.Addresses(3)
		require.NoError(t, err)
		for _, address := range addresses {
			require.False(t, seen[address], address)
			seen[address] = true
		}
	}
}
