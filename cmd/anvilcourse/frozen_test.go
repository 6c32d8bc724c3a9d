package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/standin"
)

// TestPlacement_FrozenAndGoneVMs checks that VMs that stop answering, at once
// or within a running fleet, cost no caller the answer.
func TestPlacement_FrozenAndGoneVMs(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 2)
	queue := catalog.Workspaces[0].Name + ".quotes"
	key := sys.GrantKey(catalog.Workspaces[0].Name)
	submitMany := func(count int) {
		for i := range count {
			_, err := sys.Client(i%2, key.Key).Submit(context.Background(), queue, []byte(`{"work_ms":2}`), 4*time.Second, "")
			require.NoError(t, err)
		}
	}
	submitMany(100)
	for _, vm := range []string{"vm-001", "vm-011", "vm-021"} {
		sys.SetVMFaults(vm, standin.VMFaults{Frozen: true})
	}
	for _, vm := range []string{"vm-002", "vm-012"} {
		sys.SetVMFaults(vm, standin.VMFaults{Failed: true})
	}
	submitMany(300)
	sys.SetVMFaults("vm-001", standin.VMFaults{})
}
