package dispatch

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// waitQueues holds the lines by template and by pool. Looking one up takes no lock.
type waitQueues struct {
	running func(team string) int
	mu      sync.Mutex
	index   atomic.Pointer[queueIndex]
}

// queueIndex is an immutable picture of the lines.
type queueIndex struct {
	byTemplate map[string]*templateQueue
	byPools    map[string]*waitQueue
	byPool     map[string]*waitQueue
}

type templateQueue struct {
	version uint64
	queue   *waitQueue
}

func newWaitQueues(running func(team string) int) *waitQueues {
	l := &waitQueues{running: running}
	l.index.Store(&queueIndex{byTemplate: map[string]*templateQueue{}, byPools: map[string]*waitQueue{}, byPool: map[string]*waitQueue{}})
	return l
}

// forTemplate returns the line of the template.
func (l *waitQueues) forTemplate(t *statemachine.Template) *waitQueue {
	if known := l.index.Load().byTemplate[t.Name]; known != nil && known.version == t.Version {
		return known.queue
	}
	return l.add(t)
}

// forPool returns a line that the pool serves, or nil.
func (l *waitQueues) forPool(pool string) *waitQueue {
	return l.index.Load().byPool[pool]
}

// all returns the lines.
func (l *waitQueues) all() map[string]*waitQueue {
	return l.index.Load().byPools
}

func (l *waitQueues) add(t *statemachine.Template) *waitQueue {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.index.Load()
	next := &queueIndex{byTemplate: maps.Clone(old.byTemplate), byPools: maps.Clone(old.byPools), byPool: maps.Clone(old.byPool)}
	key := poolsKey(t.Pools)
	added := next.byPools[key]
	if added == nil {
		added = &waitQueue{pools: t.Pools, WaitQueue: admission.NewWaitQueue(admission.Config{
			MaxWaitingPerTeam: admission.DefaultMaxWaitingPerTeam, MaxWait: admission.DefaultMaxWait,
			RunTimeQuantile: admission.DefaultRunTimeQuantile, Running: l.running,
		})}
		next.byPools[key] = added
	}
	next.byTemplate[t.Name] = &templateQueue{version: t.Version, queue: added}
	for _, pool := range t.Pools {
		next.byPool[pool] = added
	}
	l.index.Store(next)
	return added
}
