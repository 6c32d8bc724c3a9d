package quota

import (
	"slices"
	"time"
)

// Lend withdraws the amount from the entry's own use. It reports false and
// changes nothing if less is spare. A concurrent Acquire either sees the
// lowered allotment or is counted here.
func (l *Ledger) Lend(team string, amount int) bool {
	a := l.account(team)
	if a == nil {
		return false
	}
	a.lent.Add(int64(amount))
	if a.running.Load() > a.allotted.Load()-a.lent.Load() {
		a.lent.Add(-int64(amount))
		return false
	}
	return true
}

// ReturnLent returns a lent amount to the entry's own use.
func (l *Ledger) ReturnLent(team string, amount int) {
	if a := l.account(team); a != nil {
		a.lent.Add(-int64(amount))
	}
}

// acquireLoan takes one unit from any of the team's loans.
func (l *Ledger) acquireLoan(team string, now time.Time) (holder string, ok bool) {
	a := l.ensureAccount(team)
	for _, loan := range *a.loans.Load() {
		if loan.acquire(now) {
			return loan.holder, true
		}
	}
	a.refused.Add(1)
	return "", false
}

// releaseLoan returns one unit to the loan with the holder.
func (l *Ledger) releaseLoan(team, holder string) {
	a := l.ensureAccount(team)
	for _, loan := range *a.loans.Load() {
		if loan.holder == holder {
			loan.running.Add(-1)
			return
		}
	}
}

// addLoan makes the loan available to acquireLoan.
func (l *Ledger) addLoan(loan *borrowedLoan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := (*l.teams.Load())[loan.team]
	next := append(slices.Clone(*a.loans.Load()), loan)
	a.loans.Store(&next)
}

// removeLoan removes a loan under which no task runs.
func (l *Ledger) removeLoan(loan *borrowedLoan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := (*l.teams.Load())[loan.team]
	next := slices.DeleteFunc(slices.Clone(*a.loans.Load()), func(other *borrowedLoan) bool { return other == loan })
	a.loans.Store(&next)
}

// loansOf returns the loans of the team.
func (l *Ledger) loansOf(team string) []*borrowedLoan {
	return *l.ensureAccount(team).loans.Load()
}

// borrowedUnits is the sum of the loans that have not been closed.
func (a *account) borrowedUnits() int {
	sum := 0
	for _, loan := range *a.loans.Load() {
		sum += int(loan.amount.Load())
	}
	return sum
}

// runningUnderLoans is the number of tasks that run under loans.
func (a *account) runningUnderLoans() int {
	sum := 0
	for _, loan := range *a.loans.Load() {
		sum += int(loan.running.Load())
	}
	return sum
}

// recordUnmetRequest records that another entry requested more of the team's
// limit than this one could lend.
func (l *Ledger) recordUnmetRequest(team string, now time.Time) {
	if a := l.account(team); a != nil {
		a.unmetRequestMicros.Store(now.UnixMicro())
	}
}

// hasUnmetRequestSince reports whether a request was unmet since the time.
func (l *Ledger) hasUnmetRequestSince(team string, since time.Time) bool {
	a := l.account(team)
	return a != nil && a.unmetRequestMicros.Load() >= since.UnixMicro()
}
