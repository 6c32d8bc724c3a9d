package quota

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// TestLedger_CountsTasksUnderLoans checks that a task under a loan counts as
// running for the team. The count of the own allotment alone misses it.
func TestLedger_CountsTasksUnderLoans(t *testing.T) {
	now := time.Unix(1e9, 0)
	ledger := NewLedger()
	ledger.SetAllotted("team", 1)
	require.True(t, ledger.Acquire("team"))
	loan := &borrowed{team: "team", holder: "lender/loan"}
	loan.amount.Store(1)
	ends := now.Add(LoanTTL)
	loan.ends.Store(&ends)
	ledger.addLoan(loan)
	holder, ok := ledger.acquireLoan("team", now)
	require.True(t, ok)
	require.Equal(t, 1, ledger.Usage("team").Running)
	require.Equal(t, 1, ledger.Usage("team").UnderLoans)
	require.Equal(t, 2, ledger.TotalRunning("team"))
	ledger.releaseLoan("team", holder)
	require.Equal(t, 1, ledger.TotalRunning("team"))
}

// TestBorrowed_ShrinkKeepsWhatRuns checks that a lowered loan lets nothing
// start beyond what is told to the lender.
func TestBorrowed_ShrinkKeepsWhatRuns(t *testing.T) {
	now := time.Unix(1e9, 0)
	loan := &borrowed{}
	loan.amount.Store(5)
	ends := now.Add(LoanTTL)
	loan.ends.Store(&ends)
	require.True(t, loan.acquire(now))
	require.True(t, loan.acquire(now))
	require.True(t, loan.unused())
	require.Equal(t, 2, loan.shrink())
	require.False(t, loan.unused())
	require.False(t, loan.acquire(now))
	loan.running.Add(-1)
	require.True(t, loan.acquire(now))
	require.False(t, loan.acquire(now))
}

// TestBorrower_RecalledLoan checks when a loan goes back early: only if it has
// units that another entry lacks and this one does not.
func TestBorrower_RecalledLoan(t *testing.T) {
	cases := []struct {
		name                  string
		running               int64
		asked, lacks, recalls bool
	}{
		{"not asked for", 1, false, false, false},
		{"asked for", 1, true, false, true},
		{"all in use", 3, true, false, false},
		{"lacked here too", 1, true, true, false},
	}
	for _, c := range cases {
		clock := clockwork.NewFakeClock()
		ledger := NewLedger()
		ledger.SetAllotted("team", 0)
		b := NewBorrower("self", ledger, nil, nil, clock)
		loan := &borrowed{team: "team", told: 3}
		loan.amount.Store(3)
		loan.running.Store(c.running)
		if c.asked {
			ledger.noteAsked("team", clock.Now())
		}
		if c.lacks {
			b.lacked["team"] = clock.Now()
		}
		require.Equal(t, c.recalls, b.recalled(loan, clock.Now()), c.name)
		clock.Advance(recallFor + time.Millisecond)
		require.False(t, b.recalled(loan, clock.Now()), c.name)
	}
}
