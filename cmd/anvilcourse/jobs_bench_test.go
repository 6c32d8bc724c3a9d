package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const (
	benchEntries = 8
	// benchPoll is the pause between two looks at a job.
	benchPoll = 20 * time.Millisecond
	// benchJobFor bounds the time of one job.
	benchJobFor = 5 * time.Minute
)

// jobBench submits the jobs of all teams and waits for their ends.
type jobBench struct {
	sys    *testbed.System
	keys   []string
	queues []string
	body   string
}

// BenchmarkJobs measures the jobs that eight entries carry out on 50 VMs with 8
// slots each, from the first submission to the last end that a caller sees.
func BenchmarkJobs(b *testing.B) {
	s, err := examples.Standin("apitt")
	require.NoError(b, err)
	catalog, err := examples.Catalog("apitt")
	require.NoError(b, err)
	sys := testbed.New(b, s, benchEntries)
	sys.ApplyCatalog(catalog)
	bench := &jobBench{sys: sys}
	for _, workspace := range catalog.Workspaces {
		sys.WaitCapacity(50, workspace.Team, workspace.Limit)
		bench.keys = append(bench.keys, sys.GrantKey(workspace.Name).Key)
		bench.queues = append(bench.queues, workspace.Name+".accounts")
	}
	for _, workMS := range []int{0, 100, 1000} {
		for _, callers := range []int{8, 48, 192} {
			b.Run(fmt.Sprintf("work_ms=%d/callers=%d", workMS, callers), func(b *testing.B) {
				bench.body = fmt.Sprintf(`{"work_ms":%d}`, workMS)
				bench.run(b, callers)
			})
		}
	}
}

// run lets each caller submit its part of b.N jobs at once, each through an
// entry of its own choice, and wait for their ends.
func (j *jobBench) run(b *testing.B, callers int) {
	var left, failed atomic.Int64
	left.Store(int64(b.N))
	accepts := make([]*hdrhistogram.Histogram, callers)
	var wg sync.WaitGroup
	b.ResetTimer()
	start := time.Now()
	for c := range callers {
		accepts[c] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		wg.Go(func() {
			var ids []string
			for left.Add(-1) >= 0 {
				sent := time.Now()
				job, err := j.sys.Client(c%benchEntries, j.keys[c%len(j.keys)]).SubmitJob(context.Background(), j.queues[c%len(j.keys)], []byte(j.body), "")
				_ = accepts[c].RecordValue(time.Since(sent).Microseconds())
				if err != nil {
					failed.Add(1)
					continue
				}
				ids = append(ids, job.ID)
			}
			for _, id := range ids {
				if !j.await(c, id) {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	b.StopTimer()
	all := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, h := range accepts {
		all.Merge(h)
	}
	b.ReportMetric(float64(all.ValueAtQuantile(50))/1e3, "accept-p50-ms")
	b.ReportMetric(float64(all.ValueAtQuantile(99))/1e3, "accept-p99-ms")
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "jobs/s")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// await reports whether the job is done in time.
func (j *jobBench) await(caller int, id string) bool {
	deadline := time.Now().Add(benchJobFor)
	client := j.sys.Client((caller+1)%benchEntries, j.keys[caller%len(j.keys)])
	for time.Now().Before(deadline) {
		job, err := client.GetJob(context.Background(), id)
		if err == nil && job.State.Finished() {
			return job.State == "done"
		}
		time.Sleep(benchPoll)
	}
	return false
}
