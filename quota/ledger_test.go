package quota

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// TestLedger_CountsTasksUnderLoans checks that a task under a loan counts as
// running for the team. Counting the entry's own allotment alone misses it.
func TestLedger_CountsTasksUnderLoans(t *testing.T) {
	now := time.Unix(1e9, 0)
	ledger := NewLedger()
	ledger.SetAllotted("team", 1)
	require.True(t, ledger.Acquire("team"))
	loan := &borrowedLoan{team: "team", holder: "lender/loan"}
	loan.amount.Store(1)
	expiresAt := now.Add(LoanTTL)
	loan.expiresAt.Store(&expiresAt)
	ledger.addLoan(loan)
	holder, ok := ledger.acquireLoan("team", now)
	require.True(t, ok)
	require.Equal(t, 1, ledger.Usage("team").Running)
	require.Equal(t, 1, ledger.Usage("team").UnderLoans)
	require.Equal(t, 2, ledger.TotalRunning("team"))
	ledger.releaseLoan("team", holder)
	require.Equal(t, 1, ledger.TotalRunning("team"))
}

// TestBorrowedLoan_ShrinkKeepsRunningUnits checks that no task starts beyond
// the remaining amount that shrink returns.
func TestBorrowedLoan_ShrinkKeepsRunningUnits(t *testing.T) {
	now := time.Unix(1e9, 0)
	loan := &borrowedLoan{}
	loan.amount.Store(5)
	expiresAt := now.Add(LoanTTL)
	loan.expiresAt.Store(&expiresAt)
	require.True(t, loan.acquire(now))
	require.True(t, loan.acquire(now))
	require.True(t, loan.hasUnused())
	require.Equal(t, 2, loan.shrink())
	require.False(t, loan.hasUnused())
	require.False(t, loan.acquire(now))
	loan.running.Add(-1)
	require.True(t, loan.acquire(now))
	require.False(t, loan.acquire(now))
}

// TestBorrower_IsRecalled checks that a loan is returned early only if it has
// unused units that another entry lacks and this one does not.
func TestBorrower_IsRecalled(t *testing.T) {
	cases := []struct {
		name                          string
		running                       int64
		requested, shortage, recalled bool
	}{
		{"not requested", 1, false, false, false},
		{"requested", 1, true, false, true},
		{"all in use", 3, true, false, false},
		{"shortage here too", 1, true, true, false},
	}
	for _, c := range cases {
		clock := clockwork.NewFakeClock()
		ledger := NewLedger()
		ledger.SetAllotted("team", 0)
		borrower := NewBorrower("self", ledger, nil, nil, clock)
		loan := &borrowedLoan{team: "team", acknowledgedAmount: 3}
		loan.amount.Store(3)
		loan.running.Store(c.running)
		if c.requested {
			ledger.recordUnmetRequest("team", clock.Now())
		}
		if c.shortage {
			borrower.lastShortageAt["team"] = clock.Now()
		}
		require.Equal(t, c.recalled, borrower.isRecalled(loan, clock.Now()), c.name)
		clock.Advance(recallPeriod + time.Millisecond)
		require.False(t, borrower.isRecalled(loan, clock.Now()), c.name)
	}
}
