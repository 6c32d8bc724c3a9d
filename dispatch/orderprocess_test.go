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

// killPoint is a point between claim and answer at which an entry is killed.
type killPoint string

const (
	notKilled      killPoint = ""
	beforeSlot     killPoint = "before the slot lease"
	afterSlot      killPoint = "after the slot lease"
	beforeClaim    killPoint = "before the claim is appended"
	afterClaim     killPoint = "after the claim is appended, before it is read back"
	beforeStart    killPoint = "after the claim is read back, before the start"
	afterStart     killPoint = "after the start, before the reply"
	afterReply     killPoint = "after the reply, before the settlement"
	beforeSettle   killPoint = "before the settlement is appended"
	afterSettle    killPoint = "after the settlement is appended"
	ordersShards             = 2
	processTimeout           = 20 * time.Second
)

var killPoints = []killPoint{beforeSlot, afterSlot, beforeClaim, afterClaim, beforeStart, afterStart, afterReply, beforeSettle, afterSettle}

// process is an entry that can be killed: from then on its calls reach neither
// the log nor a VM.
type process struct {
	*testDispatcher
	t      testing.TB
	name   string
	log    *fakelog.Log
	shards *logstream.Shards
	cancel context.CancelFunc
	killAt killPoint
	pause  time.Duration
	mu     sync.Mutex
	dead   bool
}

func newProcess(ctx context.Context, t testing.TB, name string, log *fakelog.Log, fleet *fakeworkers.Fleet, vms int, alive func(string) bool) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{t: t, name: name, log: log, cancel: cancel}
	workers := &killableWorkers{Workers: fleet, p: p}
	p.testDispatcher = newTestDispatcher(ctx, t, name, fleet, workers, vms)
	clock := clockwork.NewRealClock()
	p.shards = logstream.NewShards("orders", ordersShards, logstream.Config{
		Writer: name, Log: &killableLog{Log: log.ForClient(name), p: p}, Clock: clock, Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
	})
	p.cfg.Orders = NewOrderResolver(OrderResolverConfig{
		Incarnation: name, Shards: func() *logstream.Shards { return p.shards }, Workers: workers, Clock: clock, Alive: alive,
	})
	go p.shards.Run(ctx)
	go p.cfg.Orders.Run(ctx)
	return p
}

// killIfAt kills the process if the point is its killAt.
func (p *process) killIfAt(at killPoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killAt == at && at != notKilled {
		p.dead = true
		p.cancel()
	}
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *process) lostReply(op string) error {
	return &provider.Error{Op: op, Outcome: provider.Unknown, Code: provider.CodeTimeout, Message: "killed"}
}

// killableLog drops a killed process's calls to the log.
type killableLog struct {
	provider.Log
	p *process
}

func (l *killableLog) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	before, after := notKilled, notKilled
	switch firstRecordKind(payloads) {
	case statemachine.KindClaim:
		before, after = beforeClaim, afterClaim
	case statemachine.KindClaimSettle:
		before, after = beforeSettle, afterSettle
	}
	l.p.killIfAt(before)
	if l.p.isDead() {
		return 0, l.p.lostReply("log.append")
	}
	offset, err := l.Log.Append(ctx, stream, payloads)
	l.p.killIfAt(after)
	if l.p.isDead() {
		return 0, l.p.lostReply("log.append")
	}
	return offset, err
}

func (l *killableLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if l.p.isDead() {
		return provider.Page{}, l.p.lostReply("log.read")
	}
	return page, err
}

func firstRecordKind(payloads [][]byte) statemachine.Kind {
	batch, err := statemachine.DecodeBatch(payloads[0])
	if err != nil || len(batch.Records) == 0 {
		return ""
	}
	return batch.Records[0].Command.Kind()
}

// killableWorkers drops a killed process's calls to the fleet.
type killableWorkers struct {
	provider.Workers
	p *process
}

func (w *killableWorkers) AcquireSlot(ctx context.Context, address string, req provider.SlotRequest) (provider.SlotLease, error) {
	w.p.killIfAt(beforeSlot)
	if w.p.isDead() {
		return provider.SlotLease{}, w.p.lostReply("worker.acquire")
	}
	lease, err := w.Workers.AcquireSlot(ctx, address, req)
	w.p.killIfAt(afterSlot)
	if w.p.isDead() {
		return provider.SlotLease{}, w.p.lostReply("worker.acquire")
	}
	return lease, err
}

func (w *killableWorkers) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	w.p.killIfAt(beforeStart)
	time.Sleep(w.p.pause)
	if w.p.isDead() {
		return provider.Answer{}, w.p.lostReply("worker.run")
	}
	if w.p.killAt == afterStart {
		ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, _ = w.Workers.RunTask(ctx, address, task)
		w.p.killIfAt(afterStart)
		return provider.Answer{}, w.p.lostReply("worker.run")
	}
	answer, err := w.Workers.RunTask(ctx, address, task)
	w.p.killIfAt(afterReply)
	if w.p.isDead() {
		return provider.Answer{}, w.p.lostReply("worker.run")
	}
	return answer, err
}

func (w *killableWorkers) ListTasks(ctx context.Context, address string) (provider.TaskList, error) {
	if w.p.isDead() {
		return provider.TaskList{}, w.p.lostReply("worker.list")
	}
	return w.Workers.ListTasks(ctx, address)
}
