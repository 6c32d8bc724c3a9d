package shares

import (
	"cmp"
	"slices"
)

// roundingTolerance is the remainder that rounding may leave, in slots.
const roundingTolerance = 1e-9

// Compute returns the weighted max-min fair allocation of the capacity, in the
// order of the demands.
//
// No team gets more than its demand or its limit. The whole capacity is
// allocated unless every team has all it can use. A team that has less has at
// least as much per weight as any other, so an idle share is lent to the
// others in proportion to their weights.
func Compute(capacity float64, demands []TeamDemand) []float64 {
	out := make([]float64, len(demands))
	remaining := max(0, capacity)
	remaining = waterFill(remaining, demands, out, func(d TeamDemand) float64 { return d.Weight })
	waterFill(remaining, demands, out, func(d TeamDemand) float64 {
		if d.Weight > 0 {
			return 0
		}
		return 1
	})
	return out
}

// waterFill raises all allocations of positive weight in proportion to their
// weights, up to what each team can use, and returns the remaining capacity.
func waterFill(remaining float64, demands []TeamDemand, out []float64, weight func(TeamDemand) float64) float64 {
	var order []int
	total := 0.0
	for i, d := range demands {
		if weight(d) > 0 {
			order = append(order, i)
			total += weight(d)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a].maxUsable()/weight(demands[a]), demands[b].maxUsable()/weight(demands[b]))
	})
	for _, i := range order {
		w := weight(demands[i])
		out[i] = min(demands[i].maxUsable(), remaining*w/total)
		remaining -= out[i]
		total -= w
	}
	if remaining < roundingTolerance {
		return 0
	}
	return remaining
}
