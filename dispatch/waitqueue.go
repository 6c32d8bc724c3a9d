package dispatch

import (
	"slices"
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// waitQueue holds waiting requests of templates with the same pools.
type waitQueue struct {
	*admission.WaitQueue
	pools []string
	// dispatching is set while the dispatch loop runs.
	dispatching atomic.Bool
	cachedTeams atomic.Pointer[queueTeams]
}

// queueTeams caches the teams of a queue for one version of the tables.
type queueTeams struct {
	workspaces statemachine.Table[*statemachine.Workspace]
	templates  statemachine.Table[*statemachine.Template]
	teams      []admission.Entitlement
}

// teams returns the teams of the queue's templates. Do not modify them.
func (q *waitQueue) teams(state *statemachine.State) []admission.Entitlement {
	cached := q.cachedTeams.Load()
	if cached == nil || cached.workspaces != state.Workspaces || cached.templates != state.Templates {
		cached = &queueTeams{workspaces: state.Workspaces, templates: state.Templates, teams: q.findTeams(state)}
		q.cachedTeams.Store(cached)
	}
	return cached.teams
}

func (q *waitQueue) findTeams(state *statemachine.State) []admission.Entitlement {
	key := poolsKey(q.pools)
	var out []admission.Entitlement
	for _, w := range state.Workspaces.All() {
		template, ok := state.Templates.Get(w.Template)
		if !ok || poolsKey(template.Pools) != key {
			continue
		}
		out = append(out, admission.Entitlement{Team: w.Team, Weight: float64(w.SharePermille), Limit: float64(w.Limit)})
	}
	return out
}

// poolsKey returns the map key of a set of pools.
func poolsKey(pools []string) string {
	sorted := slices.Sorted(slices.Values(pools))
	key := ""
	for _, pool := range sorted {
		key += pool + "\x00"
	}
	return key
}
