package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const (
	waveLoad  = 12
	waveTask  = `{"work_ms":40}`
	waveRetry = 5
	// waveWait bounds the wait for a part of a wave, on a busy machine.
	waveWait = time.Minute
	wavePoll = 20 * time.Millisecond
)

// waitWave waits longer than testbed does: a wave takes many rounds.
func waitWave(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waveWait); !condition(); time.Sleep(wavePoll) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// steadyLoad submits idempotent requests through all entries but the avoided
// one until the stop function, which returns the number of answers and the
// first request that found none.
func steadyLoad(sys *testbed.System, key, queue string, avoid *atomic.Int64) (stop func() (int64, error)) {
	var wg sync.WaitGroup
	var answered atomic.Int64
	var firstErr atomic.Pointer[error]
	ctx, cancel := context.WithCancel(context.Background())
	for worker := range waveLoad {
		wg.Go(func() {
			for ctx.Err() == nil {
				entry := worker % len(sys.Entries)
				if int64(entry) == avoid.Load() {
					entry = (entry + 1) % len(sys.Entries)
				}
				if err := submitRetrying(sys.Client(entry, key), queue); err != nil {
					firstErr.CompareAndSwap(nil, &err)
					return
				}
				answered.Add(1)
			}
		})
	}
	return func() (int64, error) {
		cancel()
		wg.Wait()
		if err := firstErr.Load(); err != nil {
			return answered.Load(), *err
		}
		return answered.Load(), nil
	}
}

// submitRetrying submits an idempotent request again if a lost VM ended it.
func submitRetrying(client *api.Client, queue string) error {
	var err error
	for range waveRetry {
		if _, err = client.Submit(context.Background(), queue, []byte(waveTask), 5*time.Second, ""); err == nil {
			return nil
		}
		var problem *api.Problem
		if !errors.As(err, &problem) {
			return err
		}
	}
	return err
}

// breach names a pool that is over its budget by more than its failed VMs.
func breach(vms []statemachine.VM, budgets map[string]int) string {
	steps, failed := make(map[string]int), make(map[string]int)
	for _, vm := range vms {
		switch {
		case vm.Condition != statemachine.ConditionHealthy:
			failed[vm.Pool]++
		case !vm.Available():
			steps[vm.Pool]++
		}
	}
	for pool, count := range steps {
		if count > budgets[pool] {
			return fmt.Sprintf("%s: %d under maintenance, %d failed, budget %d", pool, count, failed[pool], budgets[pool])
		}
	}
	return ""
}

// waveOf reads a wave through the entry.
func waveOf(sys *testbed.System, entry int, id string) api.WaveStatus {
	waves, err := sys.OperatorClient(entry).Waves(context.Background())
	if err != nil {
		return api.WaveStatus{}
	}
	for _, wave := range waves {
		if wave.ID == id {
			return wave
		}
	}
	return api.WaveStatus{}
}

// TestWave_WholeFleetUnderLoad maintains all 50 VMs under steady load, loses a
// rack in the middle and kills the planning entry. By the workers' own record
// the wave cuts no task, drains no pool beyond its budget and starts nothing
// late.
func TestWave_WholeFleetUnderLoad(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 3)
	// The VMs take work while they drain and are listed as live: what keeps work
	// away is the drain record alone.
	for i := range 50 {
		sys.SetVMFaults(fmt.Sprintf("vm-%03d", i), standin.VMFaults{AcceptWhileDraining: true})
	}
	key := sys.GrantKey(catalog.Workspaces[0].Name)
	var avoid atomic.Int64
	avoid.Store(-1)
	stop := steadyLoad(sys, key.Key, catalog.Workspaces[0].Name+".quotes", &avoid)
	budgets := make(map[string]int)
	request := api.WaveRequest{ID: "kernel", DeadlineMS: 20000, MaxParallel: 16}
	for _, pool := range catalog.Pools {
		budgets[pool.Name] = pool.MaxUnavailable
		request.Pools = append(request.Pools, pool.Name)
	}

	_, err := sys.OperatorClient(0).StartWave(context.Background(), request)
	require.NoError(t, err)
	planner := ""
	waitWave(t, "a planner", func() bool {
		planner = waveOf(sys, 0, "kernel").Planner
		return planner != ""
	})
	waitWave(t, "the middle of the wave", func() bool { return waveOf(sys, 0, "kernel").Progress.Done >= 6 })
	killed := slices.IndexFunc(sys.Entries, func(e *testbed.Entry) bool { return strings.HasPrefix(planner, e.Settings.Name+"-") })
	left := (killed + 1) % len(sys.Entries)
	avoid.Store(int64(killed))
	waitWave(t, "the planner to carry no request", func() bool {
		status, err := sys.OperatorClient(killed).Status(context.Background())
		return err == nil && status.Inflight == 0
	})
	for i := 20; i < 24; i++ {
		sys.SetVMFaults(fmt.Sprintf("vm-%03d", i), standin.VMFaults{AcceptWhileDraining: true, Failed: true})
	}
	sys.Entries[killed].Kill()
	waitWave(t, "another planner", func() bool { p := waveOf(sys, left, "kernel").Planner; return p != "" && p != planner })
	for i := 20; i < 24; i++ {
		sys.SetVMFaults(fmt.Sprintf("vm-%03d", i), standin.VMFaults{AcceptWhileDraining: true})
	}
	found := ""
	waitWave(t, "the end of the wave", func() bool {
		var vms []statemachine.VM
		if sys.OperatorClient(left).Get(context.Background(), "/v1/vms", &vms) == nil && found == "" {
			found = breach(vms, budgets)
		}
		return waveOf(sys, left, "kernel").State == statemachine.WaveDone
	})
	answered, err := stop()
	require.NoError(t, err)
	require.Empty(t, found)

	progress := waveOf(sys, left, "kernel").Progress
	require.Equal(t, 50, progress.Done)
	record := sys.ExecutionRecord()
	t.Logf("%d answers, record: cut %d of them lost %d, late %d, draining at most %v",
		answered, record.InterruptedTasks, record.LostTasks, record.StartsWhileDraining, record.MaxDraining)
	require.Equal(t, record.LostTasks, record.InterruptedTasks, "tasks cut by the wave")
	require.Zero(t, record.StartsWhileDraining)
	for pool, count := range record.MaxDraining {
		require.LessOrEqual(t, count, budgets[pool], pool)
	}
}
