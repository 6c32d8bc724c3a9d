package sizing

import (
	"cmp"
	"slices"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// templateDemand is the demand of one template's teams for its pools.
type templateDemand struct {
	name  string
	pools []string
	slots float64
}

// PoolDemand distributes the teams' loads over the pools that their tasks may
// run on and returns each pool's demand in slots. The templates with the fewest
// pools come first, since their tasks have no alternative. Load is assigned in
// proportion to free healthy slots, and beyond those to all healthy slots.
func PoolDemand(s *statemachine.State, sizes map[string]PoolSize, loads map[string]Load) map[string]float64 {
	out := make(map[string]float64)
	for _, d := range templateDemands(s, loads) {
		rest := d.slots
		free := newWeights(d.pools, func(pool string) float64 { return max(0, float64(sizes[pool].HealthySlots)-out[pool]) })
		rest -= distribute(out, free, min(rest, free.total))
		distribute(out, newWeights(d.pools, func(pool string) float64 { return float64(sizes[pool].HealthySlots) }), rest)
	}
	return out
}

// templateDemands returns the templates' demands, those with the fewest pools
// first.
func templateDemands(s *statemachine.State, loads map[string]Load) []templateDemand {
	slots := make(map[string]float64)
	for team, load := range loads {
		if workspace, ok := s.WorkspaceByTeam.Get(team); ok {
			slots[workspace.Template] += load.demand(workspace.Limit)
		}
	}
	var out []templateDemand
	for name, template := range s.Templates.All() {
		out = append(out, templateDemand{name: name, pools: template.Pools, slots: slots[name]})
	}
	slices.SortFunc(out, func(a, b templateDemand) int {
		return cmp.Or(cmp.Compare(len(a.pools), len(b.pools)), cmp.Compare(a.name, b.name))
	})
	return out
}

// weights are the proportions in which demand is distributed over pools.
type weights struct {
	pools  []string
	values []float64
	total  float64
}

func newWeights(pools []string, of func(pool string) float64) weights {
	w := weights{pools: pools}
	for _, pool := range pools {
		value := of(pool)
		w.values = append(w.values, value)
		w.total += value
	}
	return w
}

// distribute adds the slots to the pools in proportion to their weights and
// returns the number added.
func distribute(demand map[string]float64, w weights, slots float64) float64 {
	if w.total <= 0 {
		return 0
	}
	for i, pool := range w.pools {
		demand[pool] += slots * w.values[i] / w.total
	}
	return slots
}
