package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"

	"github.com/jonboulle/clockwork"
)

// Current sizes, 10 and 100 times as much, and the sizes to be supported.
var (
	vmSizes   = []int{50, 500, 5000, 11000}
	teamSizes = []int{6, 60, 350}
	keySizes  = []int{60, 600, 3500}
)

// stateWithVMs returns a control state with the VMs spread over 33 pools.
func stateWithVMs(vms int) *statemachine.State {
	state := statemachine.New()
	batch := statemachine.Batch{Writer: "writer"}
	add := func(c statemachine.Command) {
		batch.Records = append(batch.Records, statemachine.Record{Seq: uint64(len(batch.Records) + 1), Command: c})
	}
	for i := range 33 {
		add(&statemachine.PoolSet{Pool: statemachine.Pool{Name: fmt.Sprintf("pool-%02d", i), MaxUnavailable: 20}})
	}
	for i := range vms {
		add(&statemachine.VMAdd{VM: statemachine.VM{
			ID: fmt.Sprintf("vm-%05d", i), Address: fmt.Sprintf("http://10.0.0.1:9000/vms/vm-%05d", i),
			Pool: fmt.Sprintf("pool-%02d", i%33), AvailabilityZone: fmt.Sprintf("az-%02d", i%19),
			Rack: fmt.Sprintf("rack-%04d", i/16), Slots: 8,
		}})
	}
	state, _ = state.Apply(0, batch)
	return state
}

// measureHeap returns the heap bytes that the result of build retains.
func measureHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkStateMemory reports the heap size per VM of the control state and of
// the placer's view.
func BenchmarkStateMemory(b *testing.B) {
	for _, n := range vmSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				state := measureHeap(func() any { return stateWithVMs(n) })
				both := measureHeap(func() any {
					s := stateWithVMs(n)
					p := placement.New("self", nil, clockwork.NewFakeClock())
					p.SetFleet(s)
					return []any{s, p}
				})
				b.ReportMetric(state/float64(n), "state-B/VM")
				b.ReportMetric((both-state)/float64(n), "view-B/VM")
			}
		})
	}
}

// BenchmarkSetFleet measures rebuilding the placer's view after a change.
func BenchmarkSetFleet(b *testing.B) {
	for _, n := range vmSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			state := stateWithVMs(n)
			p := placement.New("self", nil, clockwork.NewFakeClock())
			b.ReportAllocs()
			for b.Loop() {
				p.SetFleet(state)
			}
		})
	}
}

// BenchmarkVMList measures decoding the platform's VM list, and its encoded size.
func BenchmarkVMList(b *testing.B) {
	for _, n := range vmSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var list []provider.VMInfo
			for _, vm := range stateWithVMs(n).VMs.All() {
				list = append(list, provider.VMInfo{
					ID: vm.ID, Address: vm.Address, Pool: vm.Pool, AvailabilityZone: vm.AvailabilityZone,
					Rack: vm.Rack, Slots: vm.Slots, Connections: 64, State: provider.VMActive,
				})
			}
			raw, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var out []provider.VMInfo
				if err := json.Unmarshal(raw, &out); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "B/list")
		})
	}
}

// BenchmarkHeartbeat measures encoding and decoding a heartbeat in which every
// team has load, and its encoded size.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range teamSizes {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			heartbeat := &peerpb.Heartbeat{Incarnation: "entry-01-0123abcd", Applied: 1 << 40, ControlAgeMs: 200, LogReadable: true}
			for i := range n {
				heartbeat.Teams = append(heartbeat.Teams, &peerpb.TeamLoad{Team: fmt.Sprintf("team-%04d", i), Running: 40, Waiting: 7})
			}
			size := 0
			for b.Loop() {
				raw, err := proto.Marshal(heartbeat)
				if err != nil {
					b.Fatal(err)
				}
				if err := proto.Unmarshal(raw, &peerpb.Heartbeat{}); err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "B/heartbeat")
		})
	}
}

// BenchmarkConfigurationChange measures decoding and applying one key grant, and
// the encoded size of its batch.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, n := range keySizes {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			state := stateWithKeys(n)
			payload, err := statemachine.EncodeBatch(statemachine.Batch{Writer: "entry-01-0123abcd", AtMS: 1 << 40, Records: []statemachine.Record{
				{Seq: 1, Command: &statemachine.KeyGrant{Hash: statemachine.HashKey("new"), Workspace: "w", Label: "a label of usual length"}},
			}})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				batch, err := statemachine.DecodeBatch(payload)
				if err != nil {
					b.Fatal(err)
				}
				state.Apply(state.NextOffset, batch)
			}
			b.ReportMetric(float64(len(payload)), "B/change")
		})
	}
}

func stateWithKeys(n int) *statemachine.State {
	batch := statemachine.Batch{Writer: "writer"}
	add := func(c statemachine.Command) {
		batch.Records = append(batch.Records, statemachine.Record{Seq: uint64(len(batch.Records) + 1), Command: c})
	}
	add(&statemachine.TemplateSet{Template: statemachine.Template{Name: "t", Pools: []string{"p"}, Queues: []statemachine.Queue{{Name: "q", Class: statemachine.ClassUrgent}}}})
	add(&statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: "w", Template: "t", Team: "team"}})
	for i := range n {
		add(&statemachine.KeyGrant{Hash: statemachine.HashKey(fmt.Sprint(i)), Workspace: "w"})
	}
	state, _ := statemachine.New().Apply(0, batch)
	return state
}
