package job

import (
	"context"
	"sync"
)

// teamGates bound the records that each team has under way, so that a wave of
// one team's calls does not fill the queue of the log for the others.
type teamGates struct {
	gates sync.Map
}

// enter waits for room and returns the way out, or reports false at the end
// of the context.
func (g *teamGates) enter(ctx context.Context, team string) (leave func(), ok bool) {
	value, _ := g.gates.LoadOrStore(team, make(chan struct{}, recordsPerTeam))
	gate := value.(chan struct{})
	select {
	case gate <- struct{}{}:
		return func() { <-gate }, true
	case <-ctx.Done():
		return nil, false
	}
}
