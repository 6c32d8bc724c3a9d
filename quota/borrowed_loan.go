package quota

import (
	"sync/atomic"
	"time"
)

// borrowedLoan is a loan from another entry. Acquire and release are lock-free.
type borrowedLoan struct {
	id      string
	team    string
	lender  Peer
	holder  string
	amount  atomic.Int64
	running atomic.Int64
	// expiresAt is the end of the time in which acquire succeeds.
	expiresAt atomic.Pointer[time.Time]
	// lastUsedAt is when the loan was last observed in use.
	lastUsedAt time.Time
	// acknowledgedAmount is the amount that the lender last acknowledged.
	acknowledgedAmount int
	// reportedRunning is the number of tasks under the closed loan that the
	// lender has acknowledged, or -1.
	reportedRunning int
}

// acquire takes one unit if the loan has one left and has not expired by the
// wall or the monotonic clock.
func (b *borrowedLoan) acquire(now time.Time) bool {
	if b.expired(now) {
		return false
	}
	if b.running.Add(1) > b.amount.Load() {
		b.running.Add(-1)
		return false
	}
	return true
}

// expired reports whether no more units of the loan may be acquired.
func (b *borrowedLoan) expired(now time.Time) bool {
	expiresAt := *b.expiresAt.Load()
	return !now.Before(expiresAt) || !now.Round(0).Before(expiresAt.Round(0))
}

// close ends the loan early and returns the number of tasks that still run
// under it. That number never grows again.
func (b *borrowedLoan) close() int {
	b.amount.Store(0)
	return int(b.running.Load())
}

// hasUnused reports whether the loan has units that no task uses.
func (b *borrowedLoan) hasUnused() bool {
	return b.running.Load() < b.amount.Load()
}

// shrink lowers the loan to the units in use and returns an upper bound of
// later use. A concurrent acquire either sees the lowered loan or is counted
// here.
func (b *borrowedLoan) shrink() int {
	remaining := min(b.amount.Load(), b.running.Load())
	b.amount.Store(remaining)
	return int(max(remaining, b.running.Load()))
}
