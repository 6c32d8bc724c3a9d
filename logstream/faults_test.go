package logstream

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
)

// TestPropose_Faults injects a fault of the log into a proposal and then clears
// it. The record takes effect once or, if it was refused, never.
func TestPropose_Faults(t *testing.T) {
	rows := []struct {
		name  string
		fault func(*fakelog.Faults)
		// cancels is set to cancel the proposal while the fault is active.
		cancels bool
		// failReads is set to fail the stream's reads while the fault is active.
		failReads bool
		// finalOutcome is "" for success. It is the proposal's or, after
		// Unknown, that of InDoubtRecord.Wait once the fault is cleared.
		finalOutcome provider.Outcome
		// applied is the number of times that the record was applied.
		applied uint64
	}{
		{name: "no fault", fault: func(*fakelog.Faults) {}, applied: 1},
		{name: "reply lost after the write", fault: func(f *fakelog.Faults) { f.DropReplies = 3 }, applied: 1},
		{name: "append lost", fault: func(f *fakelog.Faults) { f.DropAppends = 3 }, applied: 1},
		{name: "append delayed", fault: func(f *fakelog.Faults) { f.HoldAppends = 2 }, applied: 1},
		{name: "rate limited", fault: func(f *fakelog.Faults) { f.RateLimitAppends = 3 }, applied: 1},
		{name: "slow", fault: func(f *fakelog.Faults) { f.Delay = 5 * time.Millisecond }, applied: 1},
		{name: "down, cancelled", fault: func(f *fakelog.Faults) { f.Unavailable = true }, cancels: true, finalOutcome: provider.Refused},
		{name: "rate limited, cancelled", fault: func(f *fakelog.Faults) { f.RateLimitAppends = 1 << 40 }, cancels: true, finalOutcome: provider.Refused},
		{name: "append lost, cancelled", fault: func(f *fakelog.Faults) { f.DropAppends = 1 << 40 }, cancels: true, finalOutcome: provider.Refused},
		{name: "append delayed, cancelled", fault: func(f *fakelog.Faults) { f.HoldAppends = 1 << 40 }, cancels: true, finalOutcome: provider.Refused},
		{name: "written but not read, cancelled", fault: func(*fakelog.Faults) {}, cancels: true, failReads: true, applied: 1},
		{name: "reply lost and not read, cancelled", fault: func(f *fakelog.Faults) { f.DropReplies = 1 << 40 }, cancels: true, failReads: true, applied: 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			log := fakelog.New(clockwork.NewRealClock())
			h := startFixture(t, log, "w", nil)
			h.readFaults.failReads.Store(row.failReads)
			log.SetFaults(row.fault)
			a := h.propose(pool("p", 0))
			if row.cancels {
				h.eventually(func() bool { return h.stream.attempts.Load() > 1 || log.AppendCount() > 0 })
				a.cancel()
			}
			a.wait(t)
			if pending, ok := InDoubtRecordOf(a.err); ok && !row.failReads {
				// The writer has requeued the record, or appends the fence,
				// which fails as well.
				sent := h.stream.attempts.Load()
				h.eventually(func() bool { return pending.proposal.isDone() || h.stream.attempts.Load() >= sent+2 })
			}
			log.SetFaults(func(f *fakelog.Faults) { *f = fakelog.Faults{} })
			h.readFaults.failReads.Store(false)
			if pending, ok := InDoubtRecordOf(a.err); ok {
				require.Equal(t, provider.Unknown, outcome(a.err))
				a.result, a.err = pending.Wait(t.Context())
			}
			require.Equal(t, row.finalOutcome, outcome(a.err))
			require.Nil(t, a.result.Rejection)
			log.ReleaseAppends()
			after := h.propose(pool("after", 0))
			after.wait(t)
			require.NoError(t, after.err)
			require.Equal(t, row.applied, h.version("p"))
			h.eventually(func() bool { return h.stream.unconfirmed.len() == 0 })
		})
	}
}

// outcome returns the outcome of the error, or "" without one.
func outcome(err error) provider.Outcome {
	if err == nil {
		return ""
	}
	return provider.OutcomeOf(err)
}

// TestPropose_QueueIsBounded checks that proposals are refused, not queued
// without bound, while the log is down.
func TestPropose_QueueIsBounded(t *testing.T) {
	const queued, batch, proposals = 4, 2, 40
	log := fakelog.New(clockwork.NewRealClock())
	h := startFixture(t, log, "w", func(c *Config) {
		c.Limits.MaxQueued, c.Limits.MaxBatchRecords = queued, batch
	})
	log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true })
	var attempts []*asyncProposal
	for i := range proposals {
		attempts = append(attempts, h.propose(pool(fmt.Sprint(i), 0)))
	}
	refused := func() (n int) {
		for _, a := range attempts {
			select {
			case <-a.done:
				if pending, ok := InDoubtRecordOf(a.err); ok {
					_, a.err = pending.Wait(t.Context())
				}
				require.Equal(t, provider.Refused, outcome(a.err))
				n++
			default:
			}
		}
		return n
	}
	h.eventually(func() bool { return refused() >= proposals-queued-2*batch })
	for _, a := range attempts {
		a.cancel()
	}
	h.eventually(func() bool { return refused() == proposals })
	h.eventually(func() bool { return h.stream.unconfirmed.len() == 0 && len(h.stream.queue) == 0 })
	log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = false })
	last := h.propose(pool("last", 0))
	last.wait(t)
	require.NoError(t, last.err)
	require.Equal(t, 1, h.stream.State().Pools.Len())
}

// TestPropose_CancelBetweenAttempts checks that a proposal cancelled between
// two refused appends is refused at once.
func TestPropose_CancelBetweenAttempts(t *testing.T) {
	log := fakelog.New(clockwork.NewRealClock())
	log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true })
	h := startFixture(t, log, "w", func(c *Config) { c.Limits.RetryDelay = time.Hour })
	a := h.propose(pool("p", 0))
	h.eventually(func() bool { return h.stream.attempts.Load() == 1 && h.stream.unconfirmed.len() == 0 })
	a.cancel()
	a.wait(t)
	require.Equal(t, provider.Refused, outcome(a.err))
}

// TestUnconfirmedRecords_AreBounded checks that the records that were written
// and not read back are bounded: the writer waits until they are read.
func TestUnconfirmedRecords_AreBounded(t *testing.T) {
	const queued = 4
	log := fakelog.New(clockwork.NewRealClock())
	h := startFixture(t, log, "w", func(c *Config) {
		c.Limits.MaxQueued, c.Limits.MaxBatchRecords = queued, 1
	})
	h.readFaults.failReads.Store(true)
	for i := range 8 * queued {
		a := h.propose(pool(fmt.Sprint(i), 0))
		h.eventually(func() bool { return h.stream.unconfirmed.len() == queued || log.AppendCount() == i+1 })
		a.cancel()
		a.wait(t)
	}
	require.LessOrEqual(t, h.stream.unconfirmed.len(), queued)
	h.readFaults.failReads.Store(false)
	h.eventually(func() bool { return h.stream.unconfirmed.len() == 0 })
}

// TestFollow_UndecodablePayload checks that every process skips an undecodable
// payload in the same way.
func TestFollow_UndecodablePayload(t *testing.T) {
	log := fakelog.New(clockwork.NewRealClock())
	_, err := log.Append(context.Background(), "control", [][]byte{[]byte("garbage"), nil, []byte(`{"schema":99}`)})
	require.NoError(t, err)
	h, other := startFixture(t, log, "w", nil), startFixture(t, log, "v", nil)
	a := h.propose(pool("p", 0))
	a.wait(t)
	require.NoError(t, a.err)
	require.Equal(t, uint64(3), a.result.Offset)
	other.eventually(func() bool { return other.stream.State().NextOffset == 4 })
	require.Equal(t, uint64(1), other.version("p"))
}

// TestFollow_RecreatedOrTruncatedStream checks that a log whose offsets no
// longer match the state stops the stream and is not applied.
func TestFollow_RecreatedOrTruncatedStream(t *testing.T) {
	faults := map[string]func(*fakelog.Log){
		"recreated":                   func(l *fakelog.Log) { l.Recreate("control") },
		"recreated and longer":        recreateLonger,
		"truncated":                   func(l *fakelog.Log) { l.Truncate("control", 1) },
		"recreated while unreachable": func(l *fakelog.Log) { l.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true }); recreateLonger(l) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			log := fakelog.New(clockwork.NewRealClock())
			h := startFixture(t, log, "w", nil)
			for i := range 3 {
				a := h.propose(pool("p", uint64(i)))
				a.wait(t)
				require.NoError(t, a.err)
			}
			fault(log)
			log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = false })
			h.eventually(func() bool { return h.stream.FatalError() != nil })
			require.ErrorContains(t, h.stream.FatalError(), "control")
			require.Equal(t, uint64(3), h.stream.State().NextOffset)
			require.Equal(t, uint64(3), h.version("p"))
			require.Greater(t, h.stream.Staleness(), time.Hour)
			a := h.propose(pool("q", 0))
			a.wait(t)
			require.Equal(t, provider.Refused, outcome(a.err))
		})
	}
}

func recreateLonger(l *fakelog.Log) {
	l.Recreate("control")
	_, _ = l.Append(context.Background(), "control", [][]byte{{1}, {2}, {3}, {4}, {5}})
}
