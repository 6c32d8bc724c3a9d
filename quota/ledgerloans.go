package quota

import (
	"slices"
	"time"
)

// Lend takes the amount out of the entry's own use. It reports false and
// changes nothing if the allotment has not so much to spare. A concurrent
// Acquire sees the lowered allotment or is seen here.
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

// acquireLoan takes one unit of a loan of the team.
func (l *Ledger) acquireLoan(team string, now time.Time) (holder string, ok bool) {
	a := l.open(team)
	for _, loan := range *a.loans.Load() {
		if loan.acquire(now) {
			return loan.holder, true
		}
	}
	a.refused.Add(1)
	return "", false
}

// releaseLoan gives back one unit of the loan with the holder.
func (l *Ledger) releaseLoan(team, holder string) {
	a := l.open(team)
	for _, loan := range *a.loans.Load() {
		if loan.holder == holder {
			loan.running.Add(-1)
			return
		}
	}
}

// addLoan lets tasks start under the loan.
func (l *Ledger) addLoan(loan *borrowed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := (*l.teams.Load())[loan.team]
	next := append(slices.Clone(*a.loans.Load()), loan)
	a.loans.Store(&next)
}

// dropLoan forgets a loan under which nothing runs.
func (l *Ledger) dropLoan(loan *borrowed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := (*l.teams.Load())[loan.team]
	next := slices.DeleteFunc(slices.Clone(*a.loans.Load()), func(other *borrowed) bool { return other == loan })
	a.loans.Store(&next)
}

// loansOf returns the loans of the team.
func (l *Ledger) loansOf(team string) []*borrowed {
	return *l.open(team).loans.Load()
}

// borrowed is the sum of the loans that have not been closed.
func (a *account) borrowed() int {
	sum := 0
	for _, loan := range *a.loans.Load() {
		sum += int(loan.amount.Load())
	}
	return sum
}

// underLoans is the number of tasks that run under loans.
func (a *account) underLoans() int {
	sum := 0
	for _, loan := range *a.loans.Load() {
		sum += int(loan.running.Load())
	}
	return sum
}

// noteAsked records that another entry asked for more of the team's limit than
// this one could lend.
func (l *Ledger) noteAsked(team string, now time.Time) {
	if a := l.account(team); a != nil {
		a.askedUS.Store(now.UnixMicro())
	}
}

// askedSince reports whether another entry has asked in vain since the time.
func (l *Ledger) askedSince(team string, since time.Time) bool {
	a := l.account(team)
	return a != nil && a.askedUS.Load() >= since.UnixMicro()
}
