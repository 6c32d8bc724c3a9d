package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const (
	idleFor        = 20 * time.Second
	ticksPerSecond = 100
)

// vars are the members of /debug/vars that the benchmark reads.
type vars struct {
	Anvilcourse struct {
		PlatformIn  int64 `json:"platform_bytes_in"`
		PlatformOut int64 `json:"platform_bytes_out"`
		PeerIn      int64 `json:"peer_bytes_in"`
		PeerOut     int64 `json:"peer_bytes_out"`
	} `json:"anvilcourse"`
}

// BenchmarkIdleEntry measures what an entry process spends on control while
// no request runs: processor time, resident memory and bytes per second.
func BenchmarkIdleEntry(b *testing.B) {
	for _, c := range []struct{ entries, vms, teams int }{
		{2, 50, 6}, {4, 50, 6}, {8, 50, 6}, {16, 50, 6},
		{4, 500, 6}, {4, 5000, 6},
		{4, 50, 60}, {4, 50, 350},
	} {
		b.Run(fmt.Sprintf("entries=%d/vms=%d/teams=%d", c.entries, c.vms, c.teams), func(b *testing.B) {
			sys := idleSystem(b, c.entries, c.vms, c.teams)
			for b.Loop() {
				report(b, sys)
			}
		})
	}
}

func idleSystem(b *testing.B, entries, vms, teams int) *testbed.System {
	s := settings.DefaultStandin()
	s.Pools = []settings.StandinPool{{Name: "pool-1", VMs: vms}}
	sys := testbed.New(b, s, entries)
	catalog := settings.Catalog{
		Template: statemachine.Template{Name: "t", Pools: []string{"pool-1"}, Queues: []statemachine.Queue{
			{Name: "q", Class: statemachine.ClassUrgent, Idempotent: true, TimeoutMS: 1000},
		}},
		Pools: []statemachine.Pool{{Name: "pool-1", MaxUnavailable: 2}},
	}
	for i := range teams {
		name := fmt.Sprintf("team-%04d", i)
		catalog.Workspaces = append(catalog.Workspaces, statemachine.Workspace{
			Name: name, Template: "t", Team: name, SharePermille: 1, Limit: 4 * entries,
		})
	}
	sys.ApplyCatalog(catalog)
	sys.WaitCapacity(vms, "team-0000", 4*entries)
	sys.Wait("the last team's allotments", func() bool {
		status, err := sys.OperatorClient(0).Status(context.Background())
		return err == nil && status.Teams[fmt.Sprintf("team-%04d", teams-1)].Allotted > 0
	})
	return sys
}

// report measures the last entry for a while.
func report(b *testing.B, sys *testbed.System) {
	last := len(sys.Entries) - 1
	pid := sys.Entries[last].PID()
	var before, after vars
	read(b, sys, last, &before)
	cpu := cpuTicks(b, pid)
	time.Sleep(idleFor)
	spent := cpuTicks(b, pid) - cpu
	read(b, sys, last, &after)
	seconds := idleFor.Seconds()
	platform := after.Anvilcourse.PlatformIn + after.Anvilcourse.PlatformOut - before.Anvilcourse.PlatformIn - before.Anvilcourse.PlatformOut
	peers := after.Anvilcourse.PeerIn + after.Anvilcourse.PeerOut - before.Anvilcourse.PeerIn - before.Anvilcourse.PeerOut
	b.ReportMetric(100*float64(spent)/ticksPerSecond/seconds, "%core")
	b.ReportMetric(residentMB(b, pid), "MB")
	b.ReportMetric(float64(platform)/seconds/1000, "platform-kB/s")
	b.ReportMetric(float64(peers)/seconds/1000, "peer-kB/s")
}

func read(b *testing.B, sys *testbed.System, index int, out *vars) {
	if err := sys.OperatorClient(index).Get(context.Background(), "/debug/vars", out); err != nil {
		b.Fatal(err)
	}
}

// cpuTicks returns the processor time of the process so far, in clock ticks.
func cpuTicks(b *testing.B, pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}

func residentMB(b *testing.B, pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
	return float64(pages) * float64(os.Getpagesize()) / 1e6
}
