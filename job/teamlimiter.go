package job

import (
	"context"
	"sync"
)

// teamLimiter bounds the records that each team has in flight, so that a burst
// of one team's calls does not fill the queue of the log for the others.
type teamLimiter struct {
	semaphores sync.Map
}

// acquire waits for capacity and returns the function that releases it, or
// reports false when the context ends.
func (l *teamLimiter) acquire(ctx context.Context, team string) (release func(), ok bool) {
	value, _ := l.semaphores.LoadOrStore(team, make(chan struct{}, maxInflightRecordsPerTeam))
	semaphore := value.(chan struct{})
	select {
	case semaphore <- struct{}{}:
		return func() { <-semaphore }, true
	case <-ctx.Done():
		return nil, false
	}
}
