package dispatch

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// lines holds the lines by template and by pool. Looking one up takes no lock.
type lines struct {
	running func(team string) int
	mu      sync.Mutex
	view    atomic.Pointer[linesView]
}

// linesView is an immutable picture of the lines.
type linesView struct {
	byTemplate map[string]*templateLine
	byPools    map[string]*line
	byPool     map[string]*line
}

type templateLine struct {
	version uint64
	line    *line
}

func newLines(running func(team string) int) *lines {
	l := &lines{running: running}
	l.view.Store(&linesView{byTemplate: map[string]*templateLine{}, byPools: map[string]*line{}, byPool: map[string]*line{}})
	return l
}

// of returns the line of the template.
func (l *lines) of(t *statemachine.Template) *line {
	if known := l.view.Load().byTemplate[t.Name]; known != nil && known.version == t.Version {
		return known.line
	}
	return l.add(t)
}

// ofPool returns a line that the pool serves, or nil.
func (l *lines) ofPool(pool string) *line {
	return l.view.Load().byPool[pool]
}

// all returns the lines.
func (l *lines) all() map[string]*line {
	return l.view.Load().byPools
}

func (l *lines) add(t *statemachine.Template) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.view.Load()
	next := &linesView{byTemplate: maps.Clone(old.byTemplate), byPools: maps.Clone(old.byPools), byPool: maps.Clone(old.byPool)}
	key := poolsKey(t.Pools)
	added := next.byPools[key]
	if added == nil {
		added = &line{pools: t.Pools, WaitQueue: admission.NewWaitQueue(admission.Config{
			MaxWaitingPerTeam: admission.DefaultMaxWaitingPerTeam, MaxWait: admission.DefaultMaxWait,
			RunTimeQuantile: admission.DefaultRunTimeQuantile, Running: l.running,
		})}
		next.byPools[key] = added
	}
	next.byTemplate[t.Name] = &templateLine{version: t.Version, line: added}
	for _, pool := range t.Pools {
		next.byPool[pool] = added
	}
	l.view.Store(next)
	return added
}
