package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const (
	// benchSlots lets every connection of the largest case run at once.
	benchSlots = 64
	benchLimit = 4096
	benchBody  = `{"work_ms":0}`
)

// oneCall sends one request over the connection of the number.
type oneCall func(ctx context.Context, connection int) error

// BenchmarkEntryCost measures requests through one entry process beside direct
// calls to the same workers, which are another process.
func BenchmarkEntryCost(b *testing.B) {
	s, err := examples.Standin("apitt")
	require.NoError(b, err)
	s.Slots = benchSlots
	catalog, err := examples.Catalog("apitt")
	require.NoError(b, err)
	catalog.Workspaces = catalog.Workspaces[:1]
	catalog.Workspaces[0].Limit = benchLimit
	sys := testbed.New(b, s, 1)
	sys.ApplyCatalog(catalog)
	sys.WaitCapacity(50, catalog.Workspaces[0].Team, benchLimit)
	key := sys.GrantKey(catalog.Workspaces[0].Name)
	for _, connections := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("direct/connections=%d", connections), func(b *testing.B) {
			runCalls(b, sys, connections, directCall(b, sys, connections))
		})
		b.Run(fmt.Sprintf("entry/connections=%d", connections), func(b *testing.B) {
			runCalls(b, sys, connections, entryCall(sys, connections, key.Key, catalog.Workspaces[0].Name+".quotes"))
		})
	}
}

// entryCall sends requests through the first entry.
func entryCall(sys *testbed.System, connections int, key, queue string) oneCall {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	caller := api.NewClient("http://"+sys.Entries[0].Settings.Callers, key, client)
	return func(ctx context.Context, _ int) error {
		_, err := caller.Submit(ctx, queue, []byte(benchBody), 5*time.Second, "")
		return err
	}
}

// directCall sends tasks to the workers under leases of its own.
func directCall(b *testing.B, sys *testbed.System, connections int) oneCall {
	vms, err := provider.NewHTTPVMs(sys.PlatformURL, sys.HTTP).List(context.Background())
	require.NoError(b, err)
	workers := provider.NewHTTPWorkers(provider.NewHTTPClient())
	type held struct {
		lease string
		until time.Time
	}
	leases := make([]held, connections)
	var sequence atomic.Uint64
	return func(ctx context.Context, connection int) error {
		address := vms[connection%len(vms)].Address
		if now := time.Now(); now.After(leases[connection].until) {
			lease, err := workers.AcquireSlot(ctx, address, provider.SlotRequest{Holder: "bench", TTL: time.Second})
			if err != nil {
				return err
			}
			leases[connection] = held{lease: lease.ID, until: now.Add(lease.TTL / 2)}
		}
		_, err := workers.RunTask(ctx, address, provider.Task{
			ID: "bench-" + strconv.FormatUint(sequence.Add(1), 36), Attempt: 1, LeaseID: leases[connection].lease,
			Team: "bench", Holder: "bench", Body: []byte(benchBody),
		})
		return err
	}
}

// runCalls sends b.N calls over the connections and reports latency,
// throughput and the allocations of the entry process.
func runCalls(b *testing.B, sys *testbed.System, connections int, call oneCall) {
	var left atomic.Int64
	left.Store(int64(b.N))
	var failed atomic.Int64
	histograms := make([]*hdrhistogram.Histogram, connections)
	before := entryMallocs(b, sys)
	profiled := startProfile(b, sys)
	start := time.Now()
	b.ResetTimer()
	var wg sync.WaitGroup
	for c := range connections {
		histograms[c] = hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				sent := time.Now()
				if call(context.Background(), c) != nil {
					failed.Add(1)
				}
				_ = histograms[c].RecordValue(time.Since(sent).Nanoseconds())
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	elapsed := time.Since(start)
	profiled()
	all := hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
	for _, h := range histograms {
		all.Merge(h)
	}
	b.ReportMetric(float64(all.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(all.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "requests/s")
	b.ReportMetric(float64(entryMallocs(b, sys)-before)/float64(b.N), "entry-allocs/op")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// entryMallocs reads the number of objects that the first entry has allocated.
func entryMallocs(b *testing.B, sys *testbed.System) uint64 {
	resp, err := sys.HTTP.Get("http://" + sys.Entries[0].Settings.Operators + "/debug/vars")
	require.NoError(b, err)
	defer resp.Body.Close()
	var vars struct {
		Memstats struct{ Mallocs uint64 }
	}
	require.NoError(b, json.NewDecoder(resp.Body).Decode(&vars))
	return vars.Memstats.Mallocs
}

// profileVariable names the environment variable with the directory for CPU
// profiles of the entry process. Without it none is taken.
const profileVariable = "ANVILCOURSE_BENCH_PROFILES"

// startProfile takes a CPU profile of the first entry for a second. The result
// waits for its end.
func startProfile(b *testing.B, sys *testbed.System) func() {
	dir := os.Getenv(profileVariable)
	if dir == "" || b.N == 1 {
		return func() {}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		url := "http://" + sys.Entries[0].Settings.Operators + "/v1/debug/pprof/profile?seconds=1"
		req, err := http.NewRequest(http.MethodGet, url, nil)
		require.NoError(b, err)
		req.Header.Set("Authorization", "Bearer "+testbed.OperatorKey)
		resp, err := sys.HTTP.Do(req)
		require.NoError(b, err)
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		require.NoError(b, err)
		name := strings.NewReplacer("/", "_", "=", "_").Replace(b.Name()) + ".pprof"
		require.NoError(b, os.WriteFile(filepath.Join(dir, name), raw, 0o600))
	})
	return wg.Wait
}

// BenchmarkLoad drives the demand of the association's teams over processes:
// four entries and 84 slots.
func BenchmarkLoad(b *testing.B) {
	s, err := examples.Standin("apitt")
	require.NoError(b, err)
	s.Slots = 2
	catalog, err := examples.Catalog("apitt")
	require.NoError(b, err)
	for i := range catalog.Workspaces {
		catalog.Workspaces[i].Limit = 40
	}
	sys := testbed.New(b, s, 4)
	sys.ApplyCatalog(catalog)
	sys.WaitCapacity(50, catalog.Workspaces[0].Team, 40)
	file := filepath.Join(b.TempDir(), "catalog.json")
	raw, err := json.Marshal(catalog)
	require.NoError(b, err)
	require.NoError(b, os.WriteFile(file, raw, 0o600))
	const capacity = 840
	for _, c := range []struct {
		factor float64
		steady bool
	}{{0.8, true}, {1, true}, {1.5, true}, {5, true}, {3, false}} {
		name := fmt.Sprintf("steady=%t/factor=%g", c.steady, c.factor)
		b.Run(name, func(b *testing.B) {
			length := "10s"
			if !c.steady {
				length = "30s"
			}
			for range b.N {
				r := runLoad(b, sys, file, "-rate", fmt.Sprint(c.factor*capacity), "-duration", length, "-work", "100ms",
					"-max", "200000", fmt.Sprintf("-steady=%t", c.steady))
				sent, inTime, unknown, wrong := 0, 0, 0, 0
				for _, t := range r.Teams {
					sent, inTime, unknown, wrong = sent+t.Sent, inTime+t.Answered, unknown+t.Unknown, wrong+t.WrongAnswers
				}
				b.ReportMetric(100*float64(inTime)/float64(sent), "in-time-%")
				b.ReportMetric(r.Goodput, "goodput/s")
				b.ReportMetric(float64(unknown), "unknown")
				b.ReportMetric(float64(wrong), "wrong")
				b.ReportMetric(100*r.MeanShareDeviation, "mean-distance-%")
				b.ReportMetric(100*r.MaxShareDeviation, "worst-distance-%")
			}
		})
	}
}
