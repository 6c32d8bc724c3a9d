package shares

import (
	"cmp"
	"slices"
)

// negligible is a remainder that rounding leaves, in slots.
const negligible = 1e-9

// Compute returns the weighted max-min division of the capacity, in the order
// of the claims.
//
// No claim gets more than its demand or its limit. The whole capacity is given
// unless every claim has all it can use. A claim that has less than it can use
// has at least as much per weight as any other, so an idle share is lent to
// the others in proportion to their weights.
func Compute(capacity float64, claims []TeamDemand) []float64 {
	out := make([]float64, len(claims))
	left := max(0, capacity)
	left = fill(left, claims, out, func(c TeamDemand) float64 { return c.Weight })
	fill(left, claims, out, func(c TeamDemand) float64 {
		if c.Weight > 0 {
			return 0
		}
		return 1
	})
	return out
}

// fill raises all claims of positive weight together, in proportion to their
// weights, and returns what is left once each has all it wants.
func fill(left float64, claims []TeamDemand, out []float64, weight func(TeamDemand) float64) float64 {
	var order []int
	total := 0.0
	for i, c := range claims {
		if weight(c) > 0 {
			order = append(order, i)
			total += weight(c)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].want()/weight(claims[a]), claims[b].want()/weight(claims[b]))
	})
	for _, i := range order {
		w := weight(claims[i])
		out[i] = min(claims[i].want(), left*w/total)
		left -= out[i]
		total -= w
	}
	if left < negligible {
		return 0
	}
	return left
}
