package fleetentry

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilcourse/anvilcourse/fleet"
)

const (
	// maxLatencyUS is the longest latency that the histograms hold.
	maxLatencyUS = 60_000_000
	// latencyDigits is the precision of the histograms.
	latencyDigits = 2
)

// Metrics holds the entry's counters and latencies.
type Metrics struct {
	counters *expvar.Map
	mu       sync.Mutex
	latency  map[string]*hdrhistogram.Histogram
}

// NewMetrics returns metrics that count from zero.
func NewMetrics() *Metrics {
	return &Metrics{counters: new(expvar.Map).Init(), latency: map[string]*hdrhistogram.Histogram{}}
}

// Add counts n events.
func (m *Metrics) Add(name string, n int64) { m.counters.Add(name, n) }

// Observe records how long something took.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, known := m.latency[name]
	if !known {
		h = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
		m.latency[name] = h
	}
	// Values beyond the range count as the longest.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyUS))
}

// RecordCall counts an answered call.
func (m *Metrics) RecordCall(kind fleet.CallKind, reply fleet.ReplyKind, latency time.Duration) {
	m.Add("calls_"+strconv.Itoa(int(kind))+"_"+reply.String(), 1)
	m.Observe("call_"+strconv.Itoa(int(kind)), latency)
}

// quantiles of a histogram, in microseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50US int64 `json:"p50_us"`
	P99US int64 `json:"p99_us"`
	MaxUS int64 `json:"max_us"`
}

// snapshot returns all metrics for the metrics address.
func (m *Metrics) snapshot() map[string]any {
	out := map[string]any{}
	m.counters.Do(func(kv expvar.KeyValue) { out[kv.Key] = kv.Value })
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.latency {
		out["latency_"+name] = quantiles{Count: h.TotalCount(), P50US: h.ValueAtQuantile(50), P99US: h.ValueAtQuantile(99), MaxUS: h.Max()}
	}
	return out
}
