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

// PoolDemand divides the teams' loads over the pools that their work may run on
// and returns each pool's demand in slots. The templates of the fewest pools
// come first, since their work can go nowhere else. Work goes where healthy
// slots are free, and beyond that in proportion to them.
func PoolDemand(s *statemachine.State, sizes map[string]PoolSize, loads map[string]Load) map[string]float64 {
	out := make(map[string]float64)
	for _, d := range templateDemands(s, loads) {
		rest := d.slots
		free := weigh(d.pools, func(pool string) float64 { return max(0, float64(sizes[pool].HealthySlots)-out[pool]) })
		rest -= spread(out, free, min(rest, free.total))
		spread(out, weigh(d.pools, func(pool string) float64 { return float64(sizes[pool].HealthySlots) }), rest)
	}
	return out
}

// templateDemands returns the templates' demands, those of the fewest pools
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

// weights are the parts in which a demand is divided over pools.
type weights struct {
	pools  []string
	values []float64
	total  float64
}

func weigh(pools []string, of func(pool string) float64) weights {
	w := weights{pools: pools}
	for _, pool := range pools {
		value := of(pool)
		w.values = append(w.values, value)
		w.total += value
	}
	return w
}

// spread adds the slots to the pools in proportion to their weights and
// returns how many it added.
func spread(demand map[string]float64, w weights, slots float64) float64 {
	if w.total <= 0 {
		return 0
	}
	for i, pool := range w.pools {
		demand[pool] += slots * w.values[i] / w.total
	}
	return slots
}
