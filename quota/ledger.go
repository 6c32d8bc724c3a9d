package quota

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Ledger counts what this entry runs against what it is allotted, by team.
// Acquire and Release take no lock.
type Ledger struct {
	mu    sync.Mutex
	teams atomic.Pointer[map[string]*account]
}

// account is one team's part of the ledger.
type account struct {
	allotted atomic.Int64
	running  atomic.Int64
	// lent is the part of allotted that other entries use.
	lent atomic.Int64
	// demand counts the attempts to acquire, successful or not.
	demand atomic.Int64
	// refused counts the attempts that found neither allotment nor loan.
	refused atomic.Int64
	// askedUS is when another entry last asked for more than this one could
	// lend, in Unix microseconds.
	askedUS atomic.Int64
	// loans are the loans from other entries.
	loans atomic.Pointer[[]*borrowed]
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
// lowers first and gives up only what Usage shows to be unused.
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

// Release gives one unit back.
func (l *Ledger) Release(team string) {
	if a := l.account(team); a != nil {
		a.running.Add(-1)
	}
}

// SetAllotted changes the allotment that Acquire works against.
func (l *Ledger) SetAllotted(team string, amount int) {
	l.open(team).allotted.Store(int64(amount))
}

// Usage is one team's line of the ledger.
type Usage struct {
	Allotted int
	Running  int
	// UnderLoans is the number of tasks that run under loans from other
	// entries. Running does not count them.
	UnderLoans int
	// Lent is the part of Allotted that other entries use.
	Lent int
	// Borrowed is what other entries lend to this one.
	Borrowed int
	// Demand counts the attempts to acquire since the start.
	Demand int64
	// Refused counts the attempts that found neither allotment nor loan.
	Refused int64
}

// Usage returns the team's line.
func (l *Ledger) Usage(team string) Usage {
	a := l.account(team)
	if a == nil {
		return Usage{}
	}
	return Usage{
		Allotted: int(a.allotted.Load()), Running: int(a.running.Load()), Lent: int(a.lent.Load()),
		UnderLoans: a.underLoans(), Borrowed: a.borrowed(), Demand: a.demand.Load(), Refused: a.refused.Load(),
	}
}

// TotalRunning returns the number of the team's tasks that this entry runs, be it
// under its own allotment or under loans.
func (l *Ledger) TotalRunning(team string) int {
	a := l.account(team)
	if a == nil {
		return 0
	}
	return int(a.running.Load()) + a.underLoans()
}

// UsageByTeam returns the lines of all teams.
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

// open returns the team's account, a new one if there is none.
func (l *Ledger) open(team string) *account {
	if a := l.account(team); a != nil {
		return a
	}
	return l.add(team)
}

func (l *Ledger) add(team string) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.account(team); a != nil {
		return a
	}
	next := maps.Clone(*l.teams.Load())
	next[team] = &account{}
	next[team].loans.Store(&[]*borrowed{})
	l.teams.Store(&next)
	return next[team]
}

// Spare is the part of the allotment that neither runs nor is lent.
func (u Usage) Spare() int {
	return max(0, u.Allotted-u.Lent-u.Running)
}
