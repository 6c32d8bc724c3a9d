package maintenance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDecide_FollowsTheNeed lists needs of the pools, all alike, and what the
// wave does: a pool never serves with fewer VMs than it needs, a wave over full
// pools goes on one VM at a time, and no VM is lent to a pool that needs none.
func TestDecide_FollowsTheNeed(t *testing.T) {
	own := userFleet.vmsPerPool
	for _, c := range []struct {
		name, user string
		need       int
		fewest     int
		lends      bool
	}{
		{"association, idle", "apitt", 0, own - userFleet.budget, false},
		{"association, busy", "apitt", own - 1, own - 1, false},
		{"association, beyond its size", "apitt", 5 * own, own - 1, false},
		{"Trust, idle", "pakhtun", own - userFleet.budget, own - userFleet.budget, false},
		{"Trust, busy", "pakhtun", own - 1, own - 1, true},
		{"Trust, beyond its size", "pakhtun", 5 * own, own - 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(t, userFleet, weightsOf(t, c.user), Decide, 1)
			m.need = make(map[string]int)
			for name, pool := range m.state.Pools.All() {
				if !pool.Spare {
					m.need[name] = c.need
				}
			}
			m.startWave(100)
			fewest := own
			m.until("the end", func(Plan) bool {
				for name := range m.need {
					usage, _ := m.state.PoolUsage.Get(name)
					fewest = min(fewest, usage.VMs-usage.Unavailable)
				}
				return m.wave().State.Finished()
			})
			m.requireMaintained()
			require.GreaterOrEqual(t, fewest, c.fewest)
			require.Equal(t, c.lends, m.moves > 0)
		})
	}
}
