package quota

import "github.com/jonboulle/clockwork"

// Gate admits task starts within the entry's usable allotment and loans.
type Gate struct {
	self   string
	ledger *Ledger
	permit Permit
	clock  clockwork.Clock
}

// NewGate returns the gate of the entry incarnation.
func NewGate(self string, ledger *Ledger, permit Permit, clock clockwork.Clock) *Gate {
	return &Gate{self: self, ledger: ledger, permit: permit, clock: clock}
}

// Acquire takes one unit of the team's allotment, or else of a loan, and
// returns the holder that the start must name. The caller holds a slot lease
// already. Acquire takes no lock once the team is known.
func (g *Gate) Acquire(team string) (holder string, ok bool) {
	if g.permit.MayUseAllotment() && g.ledger.Acquire(team) {
		return g.self, true
	}
	return g.ledger.acquireLoan(team, g.clock.Now())
}

// Release returns the unit that Acquire took for the holder.
func (g *Gate) Release(team, holder string) {
	if holder == g.self {
		g.ledger.Release(team)
		return
	}
	g.ledger.releaseLoan(team, holder)
}
