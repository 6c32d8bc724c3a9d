package shares

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const tolerance = 1e-6

func drawDemands(t *rapid.T, count, maxSlots int) []TeamDemand {
	demands := make([]TeamDemand, count)
	for i := range demands {
		demands[i] = TeamDemand{
			Weight: float64(rapid.IntRange(0, 4).Draw(t, "weight")),
			Demand: float64(rapid.IntRange(0, maxSlots).Draw(t, "demand")),
			Limit:  float64(rapid.IntRange(0, maxSlots).Draw(t, "limit")),
		}
	}
	return demands
}

// TestCompute_FeasibleAndWorkConserving checks the guarantees documented at
// Compute on random demands.
func TestCompute_FeasibleAndWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t, rapid.IntRange(0, 12).Draw(t, "count"), 200)
		capacity := float64(rapid.IntRange(0, 400).Draw(t, "capacity"))
		got := Compute(capacity, demands)
		used, usable := 0.0, 0.0
		for i, c := range demands {
			require.LessOrEqual(t, got[i], c.maxUsable()+tolerance)
			require.GreaterOrEqual(t, got[i], 0.0)
			used += got[i]
			usable += c.maxUsable()
		}
		require.InDelta(t, min(capacity, usable), used, tolerance)
		requireNoEnvy(t, demands, got)
	})
}

// requireNoEnvy checks that no team below its usable amount has less per
// weight than another.
func requireNoEnvy(t require.TestingT, demands []TeamDemand, got []float64) {
	for i, c := range demands {
		if got[i] >= c.maxUsable()-tolerance || c.Weight == 0 {
			continue
		}
		for j, other := range demands {
			if other.Weight == 0 {
				require.Zero(t, got[j])
				continue
			}
			require.GreaterOrEqual(t, got[i]/c.Weight, got[j]/other.Weight-tolerance)
		}
	}
}

// TestCompute_MatchesExhaustiveSearch checks that no allocation in whole slots
// is fairer than the computed one.
func TestCompute_MatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t, 3, 6)
		for i := range demands {
			demands[i].Weight = max(1, demands[i].Weight)
		}
		capacity := rapid.IntRange(0, 12).Draw(t, "capacity")
		got := amountsPerWeight(demands, Compute(float64(capacity), demands))
		for a := 0; a <= int(demands[0].maxUsable()); a++ {
			for b := 0; b <= int(demands[1].maxUsable()); b++ {
				c := min(capacity-a-b, int(demands[2].maxUsable()))
				if c < 0 {
					continue
				}
				other := amountsPerWeight(demands, []float64{float64(a), float64(b), float64(c)})
				require.False(t, isFairer(other, got), "%v is fairer than %v", other, got)
			}
		}
	})
}

// amountsPerWeight returns the amounts per weight, lowest first.
func amountsPerWeight(demands []TeamDemand, amounts []float64) []float64 {
	out := make([]float64, len(demands))
	for i, c := range demands {
		out[i] = amounts[i] / c.Weight
	}
	slices.Sort(out)
	return out
}

// isFairer reports whether a exceeds b at their first difference.
func isFairer(a, b []float64) bool {
	for i := range a {
		if d := a[i] - b[i]; d > tolerance || d < -tolerance {
			return cmp.Compare(a[i], b[i]) > 0
		}
	}
	return false
}

func ExampleCompute() {
	demands := []TeamDemand{
		{Weight: 300, Demand: 500, Limit: 160},
		{Weight: 300, Demand: 10, Limit: 160},
		{Weight: 100, Demand: 500, Limit: 160},
	}
	fmt.Println(Compute(200, demands))
	// Output: [142.5 10 47.5]
}
