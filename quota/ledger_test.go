package quota

import (
	"testing"
	"time"

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
	require.Equal(t, 2, ledger.RunningAll("team"))
	ledger.releaseLoan("team", holder)
	require.Equal(t, 1, ledger.RunningAll("team"))
}
