package quota

import (
	"sync/atomic"
	"time"
)

// borrowed is a loan that this entry uses. Acquire and release take no lock.
type borrowed struct {
	id      string
	team    string
	lender  Peer
	holder  string
	amount  atomic.Int64
	running atomic.Int64
	// ends is when the last start may be checked.
	ends atomic.Pointer[time.Time]
	// usedAt is when the loan was last seen in use.
	usedAt time.Time
	// told is the amount that the lender knows of.
	told int
	// reported is what the lender knows to run under the closed loan, or -1.
	reported int
}

// acquire takes one unit if the loan has one left and has not ended by the
// wall or the monotonic clock.
func (b *borrowed) acquire(now time.Time) bool {
	if b.ended(now) {
		return false
	}
	if b.running.Add(1) > b.amount.Load() {
		b.running.Add(-1)
		return false
	}
	return true
}

// ended reports whether no start may be checked under the loan any more.
func (b *borrowed) ended(now time.Time) bool {
	ends := *b.ends.Load()
	return !now.Before(ends) || !now.Round(0).Before(ends.Round(0))
}

// close ends the loan early and returns the number of tasks that still run
// under it. It never grows again.
func (b *borrowed) close() int {
	b.amount.Store(0)
	return int(b.running.Load())
}

// unused reports whether the loan has units under which nothing runs.
func (b *borrowed) unused() bool {
	return b.running.Load() < b.amount.Load()
}

// shrink lowers the loan to what runs under it and returns an amount that will
// never be passed again. A concurrent acquire sees the lowered loan or is seen
// here.
func (b *borrowed) shrink() int {
	kept := min(b.amount.Load(), b.running.Load())
	b.amount.Store(kept)
	return int(max(kept, b.running.Load()))
}
