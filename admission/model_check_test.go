package admission

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallModel is a fleet that runs in a fraction of a second.
func smallModel(p policy, load float64, rotating bool) *model {
	m := *fleetModel(p, load, rotating)
	m.capacity, m.entries = 84, 4
	m.teams = nil
	for _, t := range apittTeams {
		m.teams = append(m.teams, Entitlement{Team: t.Team, Weight: t.Weight, Limit: 40})
	}
	m.nodes = nil
	return newModel(m, modelSeed)
}

// TestModel_SharesWhenFull checks that usage stays near the shares under
// five-fold bursts of demand. Serving in order of arrival fails it.
func TestModel_SharesWhenFull(t *testing.T) {
	cases := []struct {
		policy       policy
		roundWaiting func(float64) float64
		accurate     bool
	}{{firstComeFirstServed, math.Round, false}, {exchangedLoads, math.Ceil, false}, {exchangedLoads, math.Round, true}}
	for _, c := range cases {
		m := smallModel(c.policy, 3, true)
		m.roundWaiting = c.roundWaiting
		m.run(5*time.Second, 30*time.Second)
		mean, worst := m.shareError()
		t.Logf("%s: mean share error %.3f, worst %.3f", policyNames[c.policy], mean, worst)
		require.Equal(t, c.accurate, mean < 0.05, "%s: mean share error %.3f", policyNames[c.policy], mean)
	}
}

// TestModel_Overload checks that overload costs no goodput and that no start is
// wasted. Serving in order of arrival fails both.
func TestModel_Overload(t *testing.T) {
	cases := []struct {
		policy       policy
		keepsGoodput bool
	}{{firstComeFirstServed, false}, {exchangedLoads, true}}
	for _, c := range cases {
		results := make(map[float64]results)
		for _, load := range []float64{0.8, 1, 5} {
			m := smallModel(c.policy, load, false)
			m.run(5*time.Second, 10*time.Second)
			results[load] = m.results
		}
		require.GreaterOrEqual(t, float64(results[0.8].inTime), 0.999*float64(results[0.8].arrived))
		keepsGoodput := float64(results[5].inTime) >= 0.95*float64(results[1].inTime)
		require.Equal(t, c.keepsGoodput, keepsGoodput, "%s: %+v", policyNames[c.policy], results)
		require.Equal(t, c.keepsGoodput, results[5].wasted == 0, "%s: %+v", policyNames[c.policy], results)
	}
}
