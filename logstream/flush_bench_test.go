package logstream_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// flushDuration is the duration of one measurement.
const flushDuration = 3 * time.Second

// flushRow is one load: closed-loop proposers that each propose again once
// their last record has been read back, or an open loop at a rate.
type flushRow struct {
	records   int
	proposers int
	perSecond int
}

// BenchmarkFlush measures the time from a proposal to its read-back, and the
// records a second, by the bound of records in a flush, on a log that accepts
// 300 appends a second. Each row runs once for flushDuration.
func BenchmarkFlush(b *testing.B) {
	for _, records := range []int{1, 4, 8, 10, 32} {
		for _, row := range []flushRow{{records, 0, 100}, {records, 0, 800}, {records, 512, 0}} {
			name := fmt.Sprintf("records=%d/rate=%d", records, row.perSecond)
			if row.proposers > 0 {
				name = fmt.Sprintf("records=%d/proposers=%d", records, row.proposers)
			}
			b.Run(name, func(b *testing.B) { measureFlush(b, row) })
		}
	}
}

func measureFlush(b *testing.B, row flushRow) {
	stream := startRateLimited(b, row.records)
	m := &flushMeter{stream: stream, latency: hdrhistogram.New(1, 60_000_000, 3)}
	for range b.N {
		m.run(row)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(m.latency.TotalCount())/flushDuration.Seconds()/float64(b.N), "records/s")
	b.ReportMetric(float64(m.latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(m.latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(m.refused), "refused")
}

// startRateLimited runs a rate-limited stream on its own stand-in server.
func startRateLimited(b *testing.B, records int) *logstream.Stream {
	b.Helper()
	server, err := standin.Start(settings.DefaultStandin())
	require.NoError(b, err)
	limits := logstream.DefaultLimits()
	limits.MaxBatchRecords = records
	clock := clockwork.NewRealClock()
	stream := logstream.New(logstream.Config{
		Name: "control", Writer: "w", Log: provider.NewHTTPLog(server.URL(), provider.NewHTTPClient()), Clock: clock,
		Logger: hclog.NewNullLogger(), Limits: limits, AppendLimiter: logstream.NewAppendLimiter(clock, settings.DefaultStandin().AppendsPerSecond),
	}, statemachine.New())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { stream.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		wg.Wait()
		_ = server.Close()
	})
	return stream
}

// flushMeter proposes records and collects the latencies in microseconds.
type flushMeter struct {
	stream *logstream.Stream

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	refused int
}

func (m *flushMeter) run(row flushRow) {
	ctx, cancel := context.WithTimeout(context.Background(), flushDuration)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for range row.proposers {
		wg.Go(func() {
			for ctx.Err() == nil {
				m.propose(ctx)
			}
		})
	}
	if row.perSecond == 0 {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(row.perSecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			wg.Go(func() { m.propose(ctx) })
		case <-ctx.Done():
		}
	}
}

func (m *flushMeter) propose(ctx context.Context) {
	start := time.Now()
	_, err := m.stream.Propose(ctx, &statemachine.KeyWithdraw{Hash: "none"})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.refused++
		return
	}
	_ = m.latency.RecordValue(time.Since(start).Microseconds())
}
