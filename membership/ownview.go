package membership

import (
	"sync"
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// viewInterval is the maximum age of the own view in responses to heartbeats.
const viewInterval = HeartbeatInterval / 5

// ownView keeps the history of the own view for the queries of other entries.
type ownView struct {
	mu        sync.Mutex
	history   *ViewHistory
	updatedAt time.Time
}

// respond responds to the query from a view that is no older than viewInterval.
func (o *ownView) respond(now time.Time, query *peerpb.Heartbeat, view func() View) *peerpb.Heartbeat {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.updatedAt.IsZero() || elapsed.Max(now, o.updatedAt) >= viewInterval {
		o.history.Update(view())
		o.updatedAt = now
	}
	return o.history.Answer(query)
}
