package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts the outcomes of one class of work.
type tally struct {
	mu       sync.Mutex
	sent     int
	cancels  int
	outcomes map[string]int
	latency  *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{outcomes: make(map[string]int), latency: newLatency()}
}

func newLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func (t *tally) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
}

// cancel counts a cancellation that was sent.
func (t *tally) cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels++
}

// finish counts an outcome. The latency is reported for good outcomes only.
func (t *tally) finish(outcome string, took time.Duration, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
	if good {
		_ = t.latency.RecordValue(took.Microseconds())
	}
}

func (t *tally) report(class Class) ClassReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := func(quantile float64) float64 { return float64(t.latency.ValueAtQuantile(quantile)) / 1e3 }
	return ClassReport{
		Class: class, Sent: t.sent, Cancels: t.cancels, Outcomes: maps.Clone(t.outcomes),
		P50MS: ms(50), P95MS: ms(95), P99MS: ms(99), MaxMS: ms(100),
	}
}
