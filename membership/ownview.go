package membership

import (
	"sync"
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// viewInterval is the age up to which the own view answers heartbeats.
const viewInterval = HeartbeatInterval / 5

// ownView keeps the history of the own view for the entries that ask.
type ownView struct {
	mu      sync.Mutex
	history *ViewHistory
	made    time.Time
}

// answer answers the question from a view that is no older than viewInterval.
func (o *ownView) answer(now time.Time, question *peerpb.Heartbeat, view func() View) *peerpb.Heartbeat {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.made.IsZero() || elapsed.Max(now, o.made) >= viewInterval {
		o.history.Update(view())
		o.made = now
	}
	return o.history.Answer(question)
}
