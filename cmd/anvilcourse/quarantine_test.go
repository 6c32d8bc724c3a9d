package main

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const (
	// jobWork is the body of the jobs that can run.
	jobWork = `{"work_ms":50}`
	// jobBatch is the number of them that are submitted at once.
	jobBatch = 12
)

// TestJob_BadVMAndImpossibleJob lets one VM fail everything while jobs of two
// teams run, one of which can never run: the jobs that can run are done, the
// other one ends with its reason, the VM is put into quarantine within the
// budgets, and an operator brings it back.
func TestJob_BadVMAndImpossibleJob(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 3)
	keys := []string{sys.GrantKey(catalog.Workspaces[0].Name).Key, sys.GrantKey(catalog.Workspaces[1].Name).Key}
	submit := func(team, entry int, body string) api.Job {
		job, err := sys.Client(entry, keys[team]).SubmitJob(context.Background(), catalog.Workspaces[team].Name+".accounts", []byte(body), "")
		assert.NoError(t, err)
		return job
	}
	bad := vmInPool(t, sys, catalog.Template.Pools[0])
	sys.SetVMFaults(bad, standin.VMFaults{FailTasks: true})
	impossible := submit(0, 0, `{"work_ms":50,"fail":true}`)
	var jobs []api.Job
	sys.Wait("the VM to be in quarantine", func() bool {
		batch := make([]api.Job, jobBatch)
		var group sync.WaitGroup
		for i := range batch {
			group.Go(func() { batch[i] = submit(i%2, i%3, jobWork) })
		}
		group.Wait()
		jobs = append(jobs, batch...)
		return vmOf(t, sys, bad).Quarantine != nil
	})
	requireBudgets(t, sys)
	require.Equal(t, statemachine.QuarantineJobFailures, vmOf(t, sys, bad).Quarantine.Cause)

	ended := awaitJob(t, sys.Wait, sys.Client(1, keys[0]), impossible.ID, statemachine.JobFailed)
	require.Equal(t, statemachine.JobImpossible, ended.Reason)
	for i, job := range jobs {
		awaitJob(t, sys.Wait, sys.Client(1, keys[i%2]), job.ID, statemachine.JobDone)
	}
	requireBudgets(t, sys)

	sys.SetVMFaults(bad, standin.VMFaults{})
	_, err := sys.OperatorClient(2).ReleaseVM(context.Background(), bad, api.VMReleaseRequest{Version: vmOf(t, sys, bad).Version})
	require.NoError(t, err)
	sys.Wait("the VM to serve again", func() bool {
		vm := vmOf(t, sys, bad)
		return vm.Available()
	})
}

func listVMs(t *testing.T, sys *testbed.System) []statemachine.VM {
	t.Helper()
	var out []statemachine.VM
	require.NoError(t, sys.OperatorClient(0).Get(context.Background(), "/v1/vms", &out))
	return out
}

func vmInPool(t *testing.T, sys *testbed.System, pool string) string {
	t.Helper()
	for _, vm := range listVMs(t, sys) {
		if vm.Pool == pool {
			return vm.ID
		}
	}
	t.Fatalf("pool %s has no VM", pool)
	return ""
}

func vmOf(t *testing.T, sys *testbed.System, id string) statemachine.VM {
	t.Helper()
	for _, vm := range listVMs(t, sys) {
		if vm.ID == id {
			return vm
		}
	}
	t.Fatalf("there is no VM %s", id)
	return statemachine.VM{}
}

// requireBudgets checks that no pool has more VMs out of service than it may.
func requireBudgets(t *testing.T, sys *testbed.System) {
	t.Helper()
	var pools []statemachine.Pool
	require.NoError(t, sys.OperatorClient(0).Get(context.Background(), "/v1/pools", &pools))
	out := make(map[string]int)
	for _, vm := range listVMs(t, sys) {
		if !vm.Available() {
			out[vm.Pool]++
		}
	}
	for _, pool := range pools {
		require.LessOrEqual(t, out[pool.Name], pool.MaxUnavailable, fmt.Sprintf("pool %s", pool.Name))
	}
}
