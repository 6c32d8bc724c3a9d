package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/timeline"
)

const benchVMs = 50

// newBenchEntry returns a dispatcher that uses the standin server over HTTP.
func newBenchEntry(ctx context.Context, b *testing.B, name, url string) *Dispatcher {
	clock := clockwork.NewRealClock()
	client := provider.NewHTTPClient()
	workers := provider.NewHTTPWorkers(client)
	control := newFixedControl(b, benchVMs, func(i int) string { return fmt.Sprintf("%s/vms/vm-%03d", url, i) })
	placer := placement.New(name, workers, clock)
	placer.SetFleet(control.state)
	ledger := quota.NewLedger()
	ledger.SetAllotted(testTeam, 1<<20)
	gate := quota.NewGate(name, ledger, alwaysPermitted{}, clock)
	shards := logstream.NewShards("orders", ordersShards, logstream.Config{
		Writer: name, Log: provider.NewHTTPLog(url, client), Clock: clock, Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
	})
	orders := NewOrderResolver(OrderResolverConfig{
		Incarnation: name, Shards: func() *logstream.Shards { return shards }, Workers: workers, Clock: clock,
		Alive: func(string) bool { return true },
	})
	go shards.Run(ctx)
	go orders.Run(ctx)
	go reportVMsLive(ctx, placer)
	return New(Config{
		Incarnation: name, Control: control, Slots: placer, Allotment: gate, Workers: workers,
		InDoubt: NewInDoubtSet(workers, clock, gate.Release), Orders: orders, Clock: clock,
		Ring: timeline.NewRing(64), DefaultTimeout: 10 * time.Second,
	})
}

// reportVMsLive reports all VMs as live to the placer, as the VM list does.
func reportVMsLive(ctx context.Context, placer *placement.Placer) {
	var list []provider.VMInfo
	for i := range benchVMs {
		list = append(list, provider.VMInfo{ID: vmID(i), State: provider.VMActive})
	}
	for ctx.Err() == nil {
		placer.HandleVMList(list, time.Now())
		time.Sleep(100 * time.Millisecond)
	}
}

// entryBoundOrders is the alternative without an append: each key is bound to
// one entry incarnation, which keeps the outcomes in memory.
type entryBoundOrders struct {
	d     *Dispatcher
	first sync.Map
}

func (o *entryBoundOrders) run(req Request) Outcome {
	if _, repeated := o.first.LoadOrStore(req.IdempotencyKey, true); repeated {
		return Outcome{Kind: Unknown}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	grant, refusal := authorize(o.d.cfg.Control, req)
	if grant == nil {
		return refusal
	}
	slot, refusal := o.d.place(ctx, grant, "")
	if slot == nil {
		return refusal
	}
	return o.d.call(ctx, slot, provider.Task{ID: req.IdempotencyKey, Attempt: 1, Team: testTeam, Body: req.Body}).requestOutcome(slot, 1)
}

// BenchmarkOrder compares orders claimed in a log of 300 appends/s with orders
// bound to one entry, in one run. The tasks take no time.
func BenchmarkOrder(b *testing.B) {
	for _, entries := range []int{1, 8} {
		for _, parallel := range []int{1, 16, 128} {
			for _, variant := range []string{"bound", "claimed"} {
				b.Run(fmt.Sprintf("entries=%d/parallel=%d/%s", entries, parallel, variant), func(b *testing.B) {
					benchOrders(b, entries, parallel, variant)
				})
			}
		}
	}
}

func benchOrders(b *testing.B, entries, parallel int, variant string) {
	server, err := standin.Start(settings.DefaultStandin())
	require.NoError(b, err)
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var submit []func(Request) Outcome
	for i := range entries {
		d := newBenchEntry(ctx, b, fmt.Sprintf("e%d", i), server.URL())
		if variant == "bound" {
			submit = append(submit, (&entryBoundOrders{d: d}).run)
			continue
		}
		submit = append(submit, func(r Request) Outcome { return d.Do(ctx, r) })
	}
	time.Sleep(time.Second)
	var next, failed atomic.Int64
	latencies := make([]*hdrhistogram.Histogram, parallel)
	b.ResetTimer()
	start := time.Now()
	var wg sync.WaitGroup
	for worker := range parallel {
		h := hdrhistogram.New(1, 60_000_000, 3)
		latencies[worker] = h
		wg.Go(func() {
			for next.Add(1) <= int64(b.N) {
				req := Request{Queue: "w.order", Key: testKey, IdempotencyKey: newOrderKey(b)}
				sent := time.Now()
				if submit[worker%entries](req).Kind != Answered {
					failed.Add(1)
				}
				_ = h.RecordValue(time.Since(sent).Microseconds())
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	all := hdrhistogram.New(1, 60_000_000, 3)
	for _, h := range latencies {
		all.Merge(h)
	}
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(b.N)/took.Seconds(), "orders/s")
	b.ReportMetric(float64(failed.Load()), "not-answered")
}
