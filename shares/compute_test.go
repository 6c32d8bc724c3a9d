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

func drawClaims(t *rapid.T, count, most int) []TeamDemand {
	claims := make([]TeamDemand, count)
	for i := range claims {
		claims[i] = TeamDemand{
			Weight: float64(rapid.IntRange(0, 4).Draw(t, "weight")),
			Demand: float64(rapid.IntRange(0, most).Draw(t, "demand")),
			Limit:  float64(rapid.IntRange(0, most).Draw(t, "limit")),
		}
	}
	return claims
}

// TestCompute_FeasibleAndWorkConserving checks the guarantees that Compute
// states, on random claims.
func TestCompute_FeasibleAndWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t, rapid.IntRange(0, 12).Draw(t, "count"), 200)
		capacity := float64(rapid.IntRange(0, 400).Draw(t, "capacity"))
		got := Compute(capacity, claims)
		used, wanted := 0.0, 0.0
		for i, c := range claims {
			require.LessOrEqual(t, got[i], c.want()+tolerance)
			require.GreaterOrEqual(t, got[i], 0.0)
			used += got[i]
			wanted += c.want()
		}
		require.InDelta(t, min(capacity, wanted), used, tolerance)
		requireNoEnvy(t, claims, got)
	})
}

// requireNoEnvy checks that no claim below what it wants has less per weight
// than another.
func requireNoEnvy(t require.TestingT, claims []TeamDemand, got []float64) {
	for i, c := range claims {
		if got[i] >= c.want()-tolerance || c.Weight == 0 {
			continue
		}
		for j, other := range claims {
			if other.Weight == 0 {
				require.Zero(t, got[j])
				continue
			}
			require.GreaterOrEqual(t, got[i]/c.Weight, got[j]/other.Weight-tolerance)
		}
	}
}

// TestCompute_MatchesExhaustiveSearch checks that no division in whole slots
// is fairer than the computed one.
func TestCompute_MatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t, 3, 6)
		for i := range claims {
			claims[i].Weight = max(1, claims[i].Weight)
		}
		capacity := rapid.IntRange(0, 12).Draw(t, "capacity")
		got := levels(claims, Compute(float64(capacity), claims))
		for a := 0; a <= int(claims[0].want()); a++ {
			for b := 0; b <= int(claims[1].want()); b++ {
				c := min(capacity-a-b, int(claims[2].want()))
				if c < 0 {
					continue
				}
				other := levels(claims, []float64{float64(a), float64(b), float64(c)})
				require.False(t, fairer(other, got), "%v is fairer than %v", other, got)
			}
		}
	})
}

// levels returns the amounts per weight, lowest first.
func levels(claims []TeamDemand, amounts []float64) []float64 {
	out := make([]float64, len(claims))
	for i, c := range claims {
		out[i] = amounts[i] / c.Weight
	}
	slices.Sort(out)
	return out
}

// fairer reports whether the first difference is in favour of a.
func fairer(a, b []float64) bool {
	for i := range a {
		if d := a[i] - b[i]; d > tolerance || d < -tolerance {
			return cmp.Compare(a[i], b[i]) > 0
		}
	}
	return false
}

func ExampleCompute() {
	claims := []TeamDemand{
		{Weight: 300, Demand: 500, Limit: 160},
		{Weight: 300, Demand: 10, Limit: 160},
		{Weight: 100, Demand: 500, Limit: 160},
	}
	fmt.Println(Compute(200, claims))
	// Output: [142.5 10 47.5]
}
