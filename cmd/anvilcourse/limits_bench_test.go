package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	rotationEntries = 4
	rotationLimit   = 24
	// rotationWork is the run time of a task, so that the limit allows 480 a
	// second.
	rotationWork = 50 * time.Millisecond
	// rotationMean and rotationHighMean are mean demands at an entry, per second.
	// At five times the mean at one and a twentieth at the others, demand is 0.54
	// and 0.80 times what the limit allows.
	rotationMean     = 50
	rotationHighMean = 74.5
	rotationHot      = 5.0
	rotationCold     = 0.05
	rotationPeriod   = 3 * time.Second
	rotationPeriods  = 4
	rotationTimeout  = 500 * time.Millisecond
)

// outcomes counts how requests ended.
type outcomes struct {
	answered atomic.Int64
	refused  atomic.Int64
}

// offer sends requests to the entry at the rate for the time.
func (l *limited) offer(entry int, perSecond float64, period time.Duration, out *outcomes) {
	client := l.Client(entry, l.key)
	body := fmt.Appendf(nil, `{"work_ms":%d}`, rotationWork.Milliseconds())
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.After(period)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		wg.Go(func() {
			if _, err := client.Submit(context.Background(), l.queue, body, rotationTimeout, ""); err != nil {
				out.refused.Add(1)
				return
			}
			out.answered.Add(1)
		})
	}
}

// rotate lets the demand go round the entries. Mean is that at an entry, per
// second.
func (l *limited) rotate(mean float64) *outcomes {
	out := &outcomes{}
	for period := range rotationPeriods {
		var wg sync.WaitGroup
		for entry := range l.Entries {
			factor := rotationCold
			if entry == period%len(l.Entries) {
				factor = rotationHot
			}
			wg.Go(func() { l.offer(entry, factor*mean, rotationPeriod, out) })
		}
		wg.Wait()
	}
	return out
}

// BenchmarkLimits_Rotation measures the part of requests that are refused
// when demand rotates over the entries, with even parts alone and with loans.
func BenchmarkLimits_Rotation(b *testing.B) {
	for _, mode := range []struct {
		name    string
		mean    float64
		noLoans bool
	}{
		{"even parts", rotationMean, true},
		{"loans", rotationMean, false},
		{"even parts at 0.8", rotationHighMean, true},
		{"loans at 0.8", rotationHighMean, false},
	} {
		b.Run(mode.name, func(b *testing.B) {
			for range b.N {
				l := startAmended(b, rotationLimit, rotationEntries, func(s *settings.Entry) { s.NoLoans = mode.noLoans })
				b.ResetTimer()
				out := l.rotate(mode.mean)
				total := out.answered.Load() + out.refused.Load()
				b.ReportMetric(float64(total), "requests")
				b.ReportMetric(100*float64(out.refused.Load())/float64(total), "%refused")
				b.ReportMetric(float64(l.ExecutionRecord().MaxRunning[l.team]), "max-running")
			}
		})
	}
}

// BenchmarkLimits_Transfer measures the time from the first request of a
// demand that comes to one entry until three quarters of the limit run there.
func BenchmarkLimits_Transfer(b *testing.B) {
	for range b.N {
		l := startAmended(b, rotationLimit, rotationEntries, nil)
		start := time.Now()
		l.run(0, 2*rotationLimit, 200*time.Millisecond)
		l.Wait("three quarters of the limit to run", func() bool { return l.running() >= rotationLimit*3/4 })
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-transfer")
		l.endLoad()
	}
}

// BenchmarkLimits_Stranded measures the time from the kill of an entry until
// the others hold its part.
func BenchmarkLimits_Stranded(b *testing.B) {
	for range b.N {
		l := startAmended(b, rotationLimit, rotationEntries, nil)
		start := time.Now()
		l.Entries[0].Kill()
		l.Wait("the part of the killed entry to be allotted again", func() bool { return l.allotted(1) == rotationLimit })
		b.ReportMetric(time.Since(start).Seconds(), "s-stranded")
	}
}
