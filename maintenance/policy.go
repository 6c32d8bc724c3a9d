package maintenance

import (
	"math"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// minLentPools is the minimum number of pools that are lent a spare VM at once.
const minLentPools = 2

// Policy is how the weights of a template shape the waves over its pools.
type Policy struct {
	// KeepSize lends a pool one spare VM before it drains one of its own, so
	// that the teams keep their shares. Without it a pool drains down to the VMs
	// that its observed load requires.
	KeepSize bool
	// ZoneByZone maintains a pool's VMs one availability zone after another.
	ZoneByZone bool
	// BudgetFraction is the fraction of the budgets that is used at once.
	BudgetFraction float64
}

// PolicyOf derives the policy from the weights. A VM on loan preserves shares
// and costs two moves and buffer; parallel drains save time and cost buffer.
func PolicyOf(w statemachine.Weights) Policy {
	policy := Policy{KeepSize: w.Shares > w.Moves, ZoneByZone: w.Buffer > w.RolloutTime, BudgetFraction: 1}
	if policy.ZoneByZone {
		policy.BudgetFraction = w.RolloutTime / (w.RolloutTime + w.Buffer)
	}
	return policy
}

// lentPoolLimit is the number of pools that are lent a spare VM at once.
func (p Policy) lentPoolLimit(budgets int) int {
	return max(minLentPools, int(math.Floor(p.BudgetFraction*float64(budgets))))
}

// policies returns the policy of each pool. A pool without a template, such as
// a spare pool, runs no team's work.
func policies(s *statemachine.State) map[string]Policy {
	out := make(map[string]Policy)
	for name := range s.Pools.All() {
		out[name] = Policy{BudgetFraction: 1}
	}
	for _, template := range s.Templates.All() {
		for _, pool := range template.Pools {
			out[pool] = strictest(out[pool], PolicyOf(template.Weights))
		}
	}
	return out
}

// strictest combines the policies of two templates that share a pool.
func strictest(a, b Policy) Policy {
	return Policy{KeepSize: a.KeepSize || b.KeepSize, ZoneByZone: a.ZoneByZone || b.ZoneByZone, BudgetFraction: min(a.BudgetFraction, b.BudgetFraction)}
}
