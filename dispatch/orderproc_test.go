package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/provider/fakeworkers"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// step is a point between claim and answer at which an entry is killed.
type step string

const (
	never           step = ""
	beforeSlot      step = "before the slot lease"
	afterSlot       step = "after the slot lease"
	beforeClaim     step = "before the claim is appended"
	afterClaim      step = "after the claim is appended, before it is read back"
	beforeStart     step = "after the claim is read back, before the start"
	afterStart      step = "after the start, before the reply"
	afterReply      step = "after the reply, before the settle"
	beforeSettle    step = "before the settle is appended"
	afterSettle     step = "after the settle is appended"
	ordersShards         = 2
	processPatience      = 20 * time.Second
)

var killSteps = []step{beforeSlot, afterSlot, beforeClaim, afterClaim, beforeStart, afterStart, afterReply, beforeSettle, afterSettle}

// process is one entry that can be killed: from then on nothing it does
// reaches the log or a VM.
type process struct {
	*bench
	t      testing.TB
	name   string
	log    *fakelog.Log
	shards *logstream.Shards
	cancel context.CancelFunc
	killAt step
	pause  time.Duration
	mu     sync.Mutex
	dead   bool
}

func newProcess(ctx context.Context, t testing.TB, name string, log *fakelog.Log, fleet *fakeworkers.Fleet, vms int, alive func(string) bool) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{t: t, name: name, log: log, cancel: cancel}
	workers := &mortalWorkers{Workers: fleet, p: p}
	p.bench = newBench(ctx, t, name, fleet, workers, vms)
	clock := clockwork.NewRealClock()
	p.shards = logstream.NewShards("orders", ordersShards, logstream.Config{
		Writer: name, Log: &mortalLog{Log: log.For(name), p: p}, Clock: clock, Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
	})
	p.cfg.Orders = NewOrderResolver(OrderResolverConfig{
		Incarnation: name, Shards: func() *logstream.Shards { return p.shards }, Workers: workers, Clock: clock, Alive: alive,
	})
	go p.shards.Run(ctx)
	go p.cfg.Orders.Run(ctx)
	return p
}

// die kills the process if the step is the one to die at.
func (p *process) die(at step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killAt == at && at != never {
		p.dead = true
		p.cancel()
	}
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *process) lost(op string) error {
	return &provider.Error{Op: op, Outcome: provider.Unknown, Code: provider.CodeTimeout, Message: "killed"}
}

// mortalLog is the log as a process that can be killed sees it.
type mortalLog struct {
	provider.Log
	p *process
}

func (l *mortalLog) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	before, after := never, never
	switch kindIn(payloads) {
	case statemachine.KindClaim:
		before, after = beforeClaim, afterClaim
	case statemachine.KindClaimSettle:
		before, after = beforeSettle, afterSettle
	}
	l.p.die(before)
	if l.p.isDead() {
		return 0, l.p.lost("log.append")
	}
	offset, err := l.Log.Append(ctx, stream, payloads)
	l.p.die(after)
	if l.p.isDead() {
		return 0, l.p.lost("log.append")
	}
	return offset, err
}

func (l *mortalLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if l.p.isDead() {
		return provider.Page{}, l.p.lost("log.read")
	}
	return page, err
}

func kindIn(payloads [][]byte) statemachine.Kind {
	batch, err := statemachine.DecodeBatch(payloads[0])
	if err != nil || len(batch.Records) == 0 {
		return ""
	}
	return batch.Records[0].Command.Kind()
}

// mortalWorkers is the fleet as a process that can be killed sees it.
type mortalWorkers struct {
	provider.Workers
	p *process
}

func (w *mortalWorkers) AcquireSlot(ctx context.Context, address string, req provider.SlotRequest) (provider.SlotLease, error) {
	w.p.die(beforeSlot)
	if w.p.isDead() {
		return provider.SlotLease{}, w.p.lost("worker.acquire")
	}
	lease, err := w.Workers.AcquireSlot(ctx, address, req)
	w.p.die(afterSlot)
	if w.p.isDead() {
		return provider.SlotLease{}, w.p.lost("worker.acquire")
	}
	return lease, err
}

func (w *mortalWorkers) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	w.p.die(beforeStart)
	time.Sleep(w.p.pause)
	if w.p.isDead() {
		return provider.Answer{}, w.p.lost("worker.run")
	}
	if w.p.killAt == afterStart {
		ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, _ = w.Workers.RunTask(ctx, address, task)
		w.p.die(afterStart)
		return provider.Answer{}, w.p.lost("worker.run")
	}
	answer, err := w.Workers.RunTask(ctx, address, task)
	w.p.die(afterReply)
	if w.p.isDead() {
		return provider.Answer{}, w.p.lost("worker.run")
	}
	return answer, err
}

func (w *mortalWorkers) ListTasks(ctx context.Context, address string) (provider.TaskList, error) {
	if w.p.isDead() {
		return provider.TaskList{}, w.p.lost("worker.list")
	}
	return w.Workers.ListTasks(ctx, address)
}
