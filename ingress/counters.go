package ingress

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logInterval bounds the lines on clients that are turned away: a crowd of them gives one
// line, with the counts so far.
const logInterval = 10 * time.Second

// Reasons for turning a client away.
const (
	reasonTooLarge    = "refused_too_large"
	reasonFull        = "refused_no_room"
	reasonStalled     = "refused_stalled"
	reasonIncomplete  = "refused_incomplete"
	reasonDisplaced   = "displaced"
	reasonConnections = "closed_no_connection"
	reasonHeader      = "closed_header_no_room"
	reasonSlowReader  = "closed_slow_reader"
)

// counters count the clients that are turned away, by reason.
type counters struct {
	log      hclog.Logger
	mu       sync.Mutex
	byReason map[string]int64
	loggedAt time.Time
}

func (c *counters) count(reason string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byReason[reason]++
	if !c.loggedAt.IsZero() && now.Sub(c.loggedAt) < logInterval {
		return
	}
	c.loggedAt = now
	args := []any{"why", reason}
	for name, n := range c.byReason {
		args = append(args, name, n)
	}
	c.log.Warn("clients are turned away", args...)
}

func (c *counters) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.byReason)+2)
	for name, n := range c.byReason {
		out["clients_"+name] = n
	}
	return out
}
