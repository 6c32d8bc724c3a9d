package logstream

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	waitFor  = 10 * time.Second
	waitPoll = time.Millisecond
)

// readFaultLog can fail reads while appends succeed.
type readFaultLog struct {
	provider.Log
	failReads atomic.Bool
}

func (g *readFaultLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	if g.failReads.Load() {
		return provider.Page{}, &provider.Error{Op: "log.read", Outcome: provider.Refused, Code: provider.CodeUnavailable}
	}
	return g.Log.Read(ctx, stream, from, limit, wait)
}

// fixture is a running stream on a log with fault injection.
type fixture struct {
	t          *testing.T
	log        *fakelog.Log
	readFaults *readFaultLog
	stream     *Stream
	stop       context.CancelFunc
}

func testLimits() Limits {
	limits := DefaultLimits()
	limits.MaxBatchAge = time.Millisecond
	limits.ReadWait = 5 * time.Millisecond
	limits.RetryDelay = time.Millisecond
	limits.MaxRetryDelay = time.Millisecond
	return limits
}

func testConfig(log provider.Log, writer string) Config {
	return Config{
		Name: "control", Writer: writer, Log: log, Clock: clockwork.NewRealClock(),
		Logger: hclog.NewNullLogger(), Limits: testLimits(),
	}
}

func startFixture(t *testing.T, log *fakelog.Log, writer string, change func(*Config)) *fixture {
	t.Helper()
	gate := &readFaultLog{Log: log.ForClient(writer)}
	cfg := testConfig(gate, writer)
	if change != nil {
		change(&cfg)
	}
	h := &fixture{t: t, log: log, readFaults: gate, stream: New(cfg, statemachine.New())}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.stream.Run(ctx)
		close(done)
	}()
	h.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(h.stop)
	return h
}

// asyncProposal is a running proposal that a test can cancel.
type asyncProposal struct {
	cancel context.CancelFunc
	done   chan struct{}
	result statemachine.Result
	err    error
}

func (h *fixture) propose(command statemachine.Command) *asyncProposal {
	ctx, cancel := context.WithCancel(context.Background())
	a := &asyncProposal{cancel: cancel, done: make(chan struct{})}
	h.t.Cleanup(cancel)
	go func() {
		a.result, a.err = h.stream.Propose(ctx, command)
		close(a.done)
	}()
	return a
}

// wait returns once the proposal has finished.
func (a *asyncProposal) wait(t *testing.T) {
	t.Helper()
	select {
	case <-a.done:
	case <-time.After(waitFor):
		require.Fail(t, "the proposal did not finish")
	}
}

func (h *fixture) eventually(condition func() bool) {
	h.t.Helper()
	require.Eventually(h.t, condition, waitFor, waitPoll)
}

// version returns the pool's version, which counts the applied records.
func (h *fixture) version(pool string) uint64 {
	p, ok := h.stream.State().Pools.Get(pool)
	if !ok {
		return 0
	}
	return p.Version
}

func pool(name string, expected uint64) *statemachine.PoolSet {
	return &statemachine.PoolSet{Pool: statemachine.Pool{Name: name}, Expected: expected}
}
