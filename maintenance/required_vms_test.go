package maintenance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDecide_FollowsRequiredVMs checks that a pool never has fewer VMs in
// service than it needs, that a wave over full pools goes on one VM at a time,
// and that no VM is lent to a pool that needs none. All pools need the same.
func TestDecide_FollowsRequiredVMs(t *testing.T) {
	own := userFleet.vmsPerPool
	for _, c := range []struct {
		name, user   string
		requiredVMs  int
		minInService int
		expectLoans  bool
	}{
		{"association, idle", "apitt", 0, own - userFleet.budget, false},
		{"association, busy", "apitt", own - 1, own - 1, false},
		{"association, beyond its size", "apitt", 5 * own, own - 1, false},
		{"Trust, idle", "pakhtun", own - userFleet.budget, own - userFleet.budget, false},
		{"Trust, busy", "pakhtun", own - 1, own - 1, true},
		{"Trust, beyond its size", "pakhtun", 5 * own, own - 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newFleetModel(t, userFleet, userWeights(t, c.user), Decide, 1)
			m.requiredVMs = make(map[string]int)
			for name, pool := range m.state.Pools.All() {
				if !pool.Spare {
					m.requiredVMs[name] = c.requiredVMs
				}
			}
			m.startWave(100)
			minInService := own
			m.stepUntil("the end", func(Plan) bool {
				for name := range m.requiredVMs {
					usage, _ := m.state.PoolUsage.Get(name)
					minInService = min(minInService, usage.VMs-usage.Unavailable)
				}
				return m.wave().State.Finished()
			})
			m.requireMaintained()
			require.GreaterOrEqual(t, minInService, c.minInService)
			require.Equal(t, c.expectLoans, m.moves > 0)
		})
	}
}
