package dispatch

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// waitQueues holds the queues by template and by pool. Lookups take no lock.
type waitQueues struct {
	running func(team string) int
	mu      sync.Mutex
	index   atomic.Pointer[queueIndex]
}

// queueIndex is an immutable snapshot of the wait queues.
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
	q := &waitQueues{running: running}
	q.index.Store(&queueIndex{byTemplate: map[string]*templateQueue{}, byPools: map[string]*waitQueue{}, byPool: map[string]*waitQueue{}})
	return q
}

// forTemplate returns the wait queue of the template.
func (q *waitQueues) forTemplate(t *statemachine.Template) *waitQueue {
	if cached := q.index.Load().byTemplate[t.Name]; cached != nil && cached.version == t.Version {
		return cached.queue
	}
	return q.add(t)
}

// forPool returns a wait queue that the pool serves, or nil.
func (q *waitQueues) forPool(pool string) *waitQueue {
	return q.index.Load().byPool[pool]
}

// all returns the wait queues by their set of pools.
func (q *waitQueues) all() map[string]*waitQueue {
	return q.index.Load().byPools
}

func (q *waitQueues) add(t *statemachine.Template) *waitQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.index.Load()
	next := &queueIndex{byTemplate: maps.Clone(old.byTemplate), byPools: maps.Clone(old.byPools), byPool: maps.Clone(old.byPool)}
	key := poolsKey(t.Pools)
	added := next.byPools[key]
	if added == nil {
		added = &waitQueue{pools: t.Pools, WaitQueue: admission.NewWaitQueue(admission.Config{
			MaxWaitingPerTeam: admission.DefaultMaxWaitingPerTeam, MaxWait: admission.DefaultMaxWait,
			RunTimeQuantile: admission.DefaultRunTimeQuantile, Running: q.running,
		})}
		next.byPools[key] = added
	}
	next.byTemplate[t.Name] = &templateQueue{version: t.Version, queue: added}
	for _, pool := range t.Pools {
		next.byPool[pool] = added
	}
	q.index.Store(next)
	return added
}
