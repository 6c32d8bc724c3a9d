package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"
)

// fleetSizes are the numbers of VMs that the benchmarks run with.
var fleetSizes = []int{50, 500, 5_000, 11_000}

// benchState returns a state with the VMs, five pools, and a workspace with four
// keys for each 30 VMs.
func benchState(b *testing.B, vms int) *State {
	b.Helper()
	s := New()
	var seq uint64
	write := func(command Command) {
		seq++
		next, results := s.Apply(s.NextOffset, Batch{Writer: "w", AtMS: int64(seq), Records: []Record{{Seq: seq, Command: command}}})
		if results[0].Rejection != nil {
			b.Fatal(results[0].Rejection)
		}
		s = next
	}
	for i := range 5 {
		write(&PoolSet{Pool: Pool{Name: fmt.Sprint("pool-", i), MaxUnavailable: vms}})
	}
	for i := range vms {
		write(&VMAdd{VM: VM{
			ID: fmt.Sprintf("vm-%05d", i), Address: fmt.Sprintf("http://10.0.%d.%d:8080", i/250, i%250), Pool: fmt.Sprint("pool-", i%5),
			AvailabilityZone: fmt.Sprint("az-", i%4), Rack: fmt.Sprint("rack-", i/4), Slots: 8,
		}})
	}
	for i := range max(6, vms/30) {
		template, workspace := fmt.Sprint("template-", i/6), fmt.Sprint("workspace-", i)
		if i%6 == 0 {
			write(&TemplateSet{Template: Template{Name: template, Pools: []string{"pool-0"}, Queues: []Queue{{Name: "q", Class: ClassUrgent, TimeoutMS: 1000}}}})
		}
		write(&WorkspaceSet{Workspace: Workspace{Name: workspace, Template: template, Team: fmt.Sprint("team-", i), SharePermille: 100, Limit: 64}})
		for k := range 4 {
			write(&KeyGrant{Hash: HashKey(fmt.Sprint(i, "/", k)), Workspace: workspace})
		}
	}
	return s
}

// BenchmarkApply measures the application of one record, by kind.
func BenchmarkApply(b *testing.B) {
	kinds := map[string]func(i uint64) Command{
		"pool_set": func(i uint64) Command { return &PoolSet{Pool: Pool{Name: "new"}, Expected: i} },
		"key_grant": func(i uint64) Command {
			return &KeyGrant{Hash: fmt.Sprintf("%064x", i), Workspace: "workspace-0"}
		},
		"workspace_set": func(i uint64) Command {
			return &WorkspaceSet{Workspace: Workspace{Name: "workspace-0", Template: "template-0", Team: "team-0", SharePermille: 100, Limit: 64}, Expected: i + 1}
		},
	}
	for kind, command := range kinds {
		for _, vms := range fleetSizes {
			b.Run(fmt.Sprintf("%s/vms=%d", kind, vms), func(b *testing.B) {
				s := benchState(b, vms)
				b.ReportAllocs()
				var i uint64
				for b.Loop() {
					batch := Batch{Writer: "x", Records: []Record{{Seq: i + 1, Command: command(i)}}}
					next, results := s.Apply(s.NextOffset, batch)
					if results[0].Rejection != nil {
						b.Fatal(results[0].Rejection)
					}
					s = next
					i++
				}
			})
		}
	}
}

// BenchmarkSnapshot measures encoding and decoding a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, vms := range fleetSizes {
		s := benchState(b, vms)
		plain, err := json.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		raw, err := EncodeSnapshot(s)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				_, _ = EncodeSnapshot(s)
			}
			b.ReportMetric(float64(len(raw)), "bytes")
			b.ReportMetric(float64(len(plain)), "bytes-plain")
		})
		b.Run(fmt.Sprintf("decode/vms=%d", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = DecodeSnapshot(raw)
			}
		})
	}
}

// BenchmarkKeyLookup measures hashing and looking up a client's key.
func BenchmarkKeyLookup(b *testing.B) {
	for _, vms := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			s := benchState(b, vms)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.Keys.Get(HashKey("0/1")); !ok {
					b.Fatal("no key")
				}
			}
		})
	}
}
