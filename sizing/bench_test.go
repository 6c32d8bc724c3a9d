package sizing

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// benchFleet distributes VMs of 8 slots over pools with a template and a team
// each.
func benchFleet(vms, pools int) (*statemachine.State, map[string]Load) {
	s := statemachine.New()
	var records []statemachine.Record
	add := func(c statemachine.Command) {
		records = append(records, statemachine.Record{Seq: uint64(len(records) + 1), Command: c})
	}
	loads := make(map[string]Load)
	for i := range pools {
		name := fmt.Sprintf("pool-%02d", i)
		add(&statemachine.PoolSet{Pool: statemachine.Pool{Name: name, MaxUnavailable: 2}})
		add(&statemachine.TemplateSet{Template: statemachine.Template{Name: name, Pools: []string{name}}})
		add(&statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: name, Template: name, Team: name, Limit: 99}})
		loads[name] = Load{Running: float64(i)}
	}
	for i := range vms {
		add(&statemachine.VMAdd{VM: statemachine.VM{ID: fmt.Sprintf("vm-%05d", i), Pool: fmt.Sprintf("pool-%02d", i%pools), Slots: 8}})
	}
	s, _ = s.Apply(s.NextOffset, statemachine.Batch{Writer: "w", Records: records})
	return s, loads
}

// BenchmarkSample measures one sample of the pools' demand with the required
// VMs and the moves, which each entry computes once a second.
func BenchmarkSample(b *testing.B) {
	for _, size := range []struct{ vms, pools int }{{50, 5}, {500, 10}, {5000, 33}, {11000, 33}} {
		b.Run(fmt.Sprintf("vms=%d", size.vms), func(b *testing.B) {
			s, loads := benchFleet(size.vms, size.pools)
			tracker, planner, now := NewDemandTracker(), NewMovePlanner(), start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				sizes := PoolSizes(s)
				demand := PoolDemand(s, sizes, loads)
				tracker.Observe(now, demand)
				need := tracker.RequiredVMs(sizes)
				costs := MoveCosts(s)
				planner.Observe(now, sizes, demand, costs, BusyPools(s))
				ChooseMove(s, planner.DueMoves(sizes, costs), sizes, need)
			}
		})
	}
}
