package main

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestCover_LostRack loses a rack outside any wave and checks that spare VMs
// stand in as far as the pool's budget needs them, and no further.
func TestCover_LostRack(t *testing.T) {
	sys, catalog := startUser(t, "pakhtun", 3)
	const rack = 4
	pool := catalog.Pools[0]
	for i := range rack {
		sys.SetVMFaults(fmt.Sprintf("vm-%03d", i), standin.VMFaults{Failed: true})
	}
	var lent []statemachine.VM
	waitWave(t, "spare VMs to stand in", func() bool {
		var vms []statemachine.VM
		if sys.OperatorClient(0).Get(context.Background(), "/v1/vms", &vms) != nil {
			return false
		}
		lent = nil
		for _, vm := range vms {
			if vm.Home != "" {
				lent = append(lent, vm)
			}
		}
		return len(lent) >= rack-pool.MaxUnavailable
	})
	require.Len(t, lent, rack-pool.MaxUnavailable)
	for _, vm := range lent {
		require.Equal(t, pool.Name, vm.Pool)
		require.True(t, vm.Available())
	}
}
