package quota

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Ledger counts this entry's running tasks against its allotments, by team.
// Acquire and Release are lock-free.
type Ledger struct {
	mu    sync.Mutex
	teams atomic.Pointer[map[string]*account]
}

// account is one team's account in the ledger.
type account struct {
	allotted atomic.Int64
	running  atomic.Int64
	// lent is the part of allotted that is on loan to other entries.
	lent atomic.Int64
	// demand counts the attempts to acquire, successful or not.
	demand atomic.Int64
	// refused counts the attempts that found neither allotment nor loan.
	refused atomic.Int64
	// unmetRequestMicros is when another entry last requested more than this
	// one could lend, in Unix microseconds.
	unmetRequestMicros atomic.Int64
	// loans are the loans from other entries.
	loans atomic.Pointer[[]*borrowedLoan]
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	l.teams.Store(&map[string]*account{})
	return l
}

// Acquire takes one unit of the team's allotment, or reports false if none is
// left. A concurrent SetAllotted may lower the allotment between the check
// and the return; Usage then shows more running than allotted, so a holder
// lowers first and releases only what Usage shows to be unused.
func (l *Ledger) Acquire(team string) bool {
	a := l.account(team)
	if a == nil {
		return false
	}
	a.demand.Add(1)
	if a.running.Add(1) > a.allotted.Load()-a.lent.Load() {
		a.running.Add(-1)
		return false
	}
	return true
}

// Release returns one unit.
func (l *Ledger) Release(team string) {
	if a := l.account(team); a != nil {
		a.running.Add(-1)
	}
}

// SetAllotted changes the allotment that Acquire checks.
func (l *Ledger) SetAllotted(team string, amount int) {
	l.ensureAccount(team).allotted.Store(int64(amount))
}

// Usage is a snapshot of one team's account.
type Usage struct {
	Allotted int
	Running  int
	// UnderLoans is the number of tasks that run under loans from other
	// entries. Running does not count them.
	UnderLoans int
	// Lent is the part of Allotted that is on loan to other entries.
	Lent int
	// Borrowed is the sum of the open loans from other entries.
	Borrowed int
	// Demand counts the attempts to acquire since the start.
	Demand int64
	// Refused counts the attempts that found neither allotment nor loan.
	Refused int64
}

// Usage returns the team's usage.
func (l *Ledger) Usage(team string) Usage {
	a := l.account(team)
	if a == nil {
		return Usage{}
	}
	return Usage{
		Allotted: int(a.allotted.Load()), Running: int(a.running.Load()), Lent: int(a.lent.Load()),
		UnderLoans: a.runningUnderLoans(), Borrowed: a.borrowedUnits(), Demand: a.demand.Load(), Refused: a.refused.Load(),
	}
}

// TotalRunning returns the number of the team's tasks that this entry runs,
// under its own allotment and under loans.
func (l *Ledger) TotalRunning(team string) int {
	a := l.account(team)
	if a == nil {
		return 0
	}
	return int(a.running.Load()) + a.runningUnderLoans()
}

// UsageByTeam returns the usage of all teams.
func (l *Ledger) UsageByTeam() map[string]Usage {
	out := make(map[string]Usage)
	for team := range *l.teams.Load() {
		out[team] = l.Usage(team)
	}
	return out
}

func (l *Ledger) account(team string) *account {
	return (*l.teams.Load())[team]
}

// ensureAccount returns the team's account and creates it if necessary.
func (l *Ledger) ensureAccount(team string) *account {
	if a := l.account(team); a != nil {
		return a
	}
	return l.addAccount(team)
}

func (l *Ledger) addAccount(team string) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.account(team); a != nil {
		return a
	}
	next := maps.Clone(*l.teams.Load())
	next[team] = &account{}
	next[team].loans.Store(&[]*borrowedLoan{})
	l.teams.Store(&next)
	return next[team]
}

// Spare is the part of the allotment that is neither in use nor on loan.
func (u Usage) Spare() int {
	return max(0, u.Allotted-u.Lent-u.Running)
}
