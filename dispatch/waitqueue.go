package dispatch

import (
	"slices"
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// waitQueue is where requests of templates with the same pools wait for slots.
type waitQueue struct {
	*admission.WaitQueue
	pools []string
	// dispatching is set while a goroutine searches slots for those who wait.
	dispatching atomic.Bool
	cachedTeams atomic.Pointer[queueTeams]
}

// queueTeams are the teams of a line in the states that have the tables.
type queueTeams struct {
	workspaces statemachine.Table[*statemachine.Workspace]
	templates  statemachine.Table[*statemachine.Template]
	teams      []admission.Entitlement
}

// teams returns the teams of the line's templates. They must not be changed.
func (l *waitQueue) teams(state *statemachine.State) []admission.Entitlement {
	known := l.cachedTeams.Load()
	if known == nil || known.workspaces != state.Workspaces || known.templates != state.Templates {
		known = &queueTeams{workspaces: state.Workspaces, templates: state.Templates, teams: l.findTeams(state)}
		l.cachedTeams.Store(known)
	}
	return known.teams
}

func (l *waitQueue) findTeams(state *statemachine.State) []admission.Entitlement {
	own := poolsKey(l.pools)
	var out []admission.Entitlement
	for _, w := range state.Workspaces.All() {
		template, ok := state.Templates.Get(w.Template)
		if !ok || poolsKey(template.Pools) != own {
			continue
		}
		out = append(out, admission.Entitlement{Team: w.Team, Weight: float64(w.SharePermille), Limit: float64(w.Limit)})
	}
	return out
}

// poolsKey names a set of pools.
func poolsKey(pools []string) string {
	sorted := slices.Sorted(slices.Values(pools))
	key := ""
	for _, pool := range sorted {
		key += pool + "\x00"
	}
	return key
}
