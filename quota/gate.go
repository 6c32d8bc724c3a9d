package quota

// Gate lets tasks start within what the entry holds and may use.
type Gate struct {
	self   string
	ledger *Ledger
	permit Permit
}

// NewGate returns the gate of the entry incarnation.
func NewGate(self string, ledger *Ledger, permit Permit) *Gate {
	return &Gate{self: self, ledger: ledger, permit: permit}
}

// Acquire takes one unit of the team's allotment and returns the holder that
// the start must name. The caller holds a slot lease already. Acquire takes no
// lock.
func (g *Gate) Acquire(team string) (holder string, ok bool) {
	if g.permit.MayUseAllotment() && g.ledger.Acquire(team) {
		return g.self, true
	}
	return "", false
}

// Release gives back the unit that Acquire took for the holder.
func (g *Gate) Release(team, _ string) {
	g.ledger.Release(team)
}
