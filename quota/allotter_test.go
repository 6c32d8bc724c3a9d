package quota

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const testTeam = "team"

// fakeLog applies records immediately, or delays them while it is down.
type fakeLog struct {
	state   *statemachine.State
	seqs    map[string]uint64
	down    bool
	delayed []delayedRecord
}

type delayedRecord struct {
	writer string
	record statemachine.Record
}

func newFakeLog(t *testing.T, limit int, entries ...string) *fakeLog {
	l := &fakeLog{state: statemachine.New(), seqs: map[string]uint64{}}
	l.write("operator", &statemachine.PoolSet{Pool: statemachine.Pool{Name: "p"}})
	template := l.write("operator", &statemachine.TemplateSet{Template: statemachine.Template{Name: "t", Pools: []string{"p"}}})
	require.Nil(t, template.Rejection)
	require.Nil(t, l.setLimit(limit, 0).Rejection)
	for _, entry := range entries {
		require.Nil(t, l.write(entry, &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: entry}}).Rejection)
	}
	return l
}

func (l *fakeLog) setLimit(limit int, expected uint64) statemachine.Result {
	return l.write("operator", &statemachine.WorkspaceSet{
		Workspace: statemachine.Workspace{Name: "w", Template: "t", Team: testTeam, Limit: limit}, Expected: expected,
	})
}

func (l *fakeLog) write(writer string, command statemachine.Command) statemachine.Result {
	l.seqs[writer]++
	return l.apply(writer, statemachine.Record{Seq: l.seqs[writer], Command: command})
}

func (l *fakeLog) apply(writer string, record statemachine.Record) statemachine.Result {
	next, results := l.state.Apply(l.state.NextOffset, statemachine.Batch{Writer: writer, Records: []statemachine.Record{record}})
	l.state = next
	return results[0]
}

// applyDelayed applies the delayed records.
func (l *fakeLog) applyDelayed() {
	for _, h := range l.delayed {
		l.apply(h.writer, h.record)
	}
	l.delayed = nil
}

func (l *fakeLog) allotment(entry string) int {
	held, _ := allotmentOf(l.state, testTeam, entry)
	return held
}

// proposer is one entry's access to the log.
type proposer struct {
	log    *fakeLog
	writer string
}

func (p *proposer) State() *statemachine.State { return p.log.state }

func (p *proposer) Propose(_ context.Context, command statemachine.Command) (statemachine.Result, error) {
	if !p.log.down {
		p.log.applyDelayed()
		return p.log.write(p.writer, command), nil
	}
	p.log.seqs[p.writer]++
	p.log.delayed = append(p.log.delayed, delayedRecord{writer: p.writer, record: statemachine.Record{Seq: p.log.seqs[p.writer], Command: command}})
	return statemachine.Result{}, &provider.Error{Op: "log.propose", Outcome: provider.Unknown, Code: provider.CodeTimeout}
}

func newTestAllotter(log *fakeLog, entry string) *Allotter {
	return NewAllotter(entry, &proposer{log: log, writer: entry}, NewLedger(), clockwork.NewFakeClock(), hclog.NewNullLogger())
}

// TestAllotter_DividesTheLimit checks the even parts after joins and after the
// limit was lowered below what runs.
func TestAllotter_DividesTheLimit(t *testing.T) {
	log := newFakeLog(t, 10, "a", "b")
	a, b := newTestAllotter(log, "a"), newTestAllotter(log, "b")
	ctx := context.Background()
	a.adjustAll(ctx)
	b.adjustAll(ctx)
	require.Equal(t, [2]int{5, 5}, [2]int{log.allotment("a"), log.allotment("b")})
	for range 4 {
		require.True(t, a.ledger.Acquire(testTeam))
	}
	log.setLimit(4, 1)
	a.adjustAll(ctx)
	b.adjustAll(ctx)
	require.Equal(t, [2]int{4, 2}, [2]int{log.allotment("a"), log.allotment("b")}, "running tasks stay allotted")
	require.False(t, a.ledger.Acquire(testTeam), "no new task starts above the part")
	for range 4 {
		a.ledger.Release(testTeam)
	}
	a.adjustAll(ctx)
	require.Equal(t, [2]int{2, 2}, [2]int{log.allotment("a"), log.allotment("b")})
}

// TestAllotter_LoweringInDoubt checks that the ledger never exceeds the log
// when a lowering record whose reply was lost is applied late.
func TestAllotter_LoweringInDoubt(t *testing.T) {
	log := newFakeLog(t, 10, "a")
	a := newTestAllotter(log, "a")
	ctx := context.Background()
	a.adjustAll(ctx)
	require.Equal(t, 10, a.ledger.Usage(testTeam).Allotted)
	log.setLimit(8, 1)
	log.down = true
	a.adjustAll(ctx)
	log.setLimit(10, 2)
	for range 3 {
		a.adjustAll(ctx)
		require.LessOrEqual(t, a.ledger.Usage(testTeam).Allotted, 8, "the lowering record may still be applied")
	}
	log.applyDelayed()
	require.Equal(t, 8, log.allotment("a"))
	require.LessOrEqual(t, a.ledger.Usage(testTeam).Allotted, log.allotment("a"))
	log.down = false
	a.adjustAll(ctx)
	a.adjustAll(ctx)
	require.Equal(t, 10, a.ledger.Usage(testTeam).Allotted)
}

// TestAllotter_ReconcilesEachChange checks that a converged state is skipped
// and that each change is handled: a join, another limit, a leave.
func TestAllotter_ReconcilesEachChange(t *testing.T) {
	log := newFakeLog(t, 6, "a")
	a := newTestAllotter(log, "a")
	round := func(part int) {
		t.Helper()
		a.adjustAll(t.Context())
		a.adjustAll(t.Context())
		require.Same(t, log.state, a.converged)
		require.Equal(t, part, log.allotment("a"))
		require.Equal(t, part, a.ledger.Usage(testTeam).Allotted)
	}
	round(6)
	require.Nil(t, log.write("b", &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: "b"}}).Rejection)
	round(3)
	workspace, _ := log.state.WorkspaceByTeam.Get(testTeam)
	require.Nil(t, log.setLimit(4, workspace.Version).Rejection)
	round(2)
	require.Nil(t, log.write("b", &statemachine.EntryLeave{Incarnation: "b"}).Rejection)
	round(4)
}
