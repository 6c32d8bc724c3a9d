package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

const (
	// smallRequestBytes is the size up to which a request may take the last part of the
	// held bytes: ordinary requests are served beside large ones.
	smallRequestBytes = 16 << 10
	// largeShare is the part of the held bytes that larger requests may take.
	largeShare = 0.875
	// holdPatience is how long a request waits for room.
	holdPatience = 500 * time.Millisecond
	// holdRecheck is how often a waiting request looks for clients to displace.
	holdRecheck = 50 * time.Millisecond
	// pressedTime is how long connections are not kept after one has found no place.
	pressedTime = 2 * time.Second
	// scanInterval bounds how often all connections are looked through.
	scanInterval = 20 * time.Millisecond
)

// errNoRoom says that the bytes cannot be held, errDisplaced that the client's connection
// has been given up for others.
var (
	errNoRoom    = errors.New("the entry holds as much for clients as it may")
	errDisplaced = errors.New("the request made too little progress while others waited")
)

// Gate admits connections and the bytes of requests up to its limits. When they are met,
// it displaces the clients that hold most and progress least; a request that has been read
// whole is never displaced.
type Gate struct {
	limits   Limits
	counters counters
	// watching says that clients who stand still will be looked for.
	watching atomic.Bool
	// turnedAwayAt is when a connection last found no place, in nanoseconds from epoch.
	turnedAwayAt atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// held is the sum over the connections, leaving the part of those being displaced.
	held, leaving int64
	hosts         map[string]*hostUse
	// freed is closed, and replaced, when bytes are released.
	freed chan struct{}
	// waiting is how many requests wait for it.
	waiting int
	// holdScannedAt and connScannedAt are when the connections were last looked through for
	// bytes and, in vain, for a place.
	holdScannedAt, connScannedAt time.Time
}

// hostUse is what the clients at one address take.
type hostUse struct {
	conns int
	held  int64
}

// NewGate returns a gate with the limits.
func NewGate(limits Limits, log hclog.Logger) *Gate {
	return &Gate{
		limits: limits, counters: counters{log: log, byReason: map[string]int64{}},
		conns: map[*conn]struct{}{}, hosts: map[string]*hostUse{}, freed: make(chan struct{}),
	}
}

// pressed reports whether connections find no place: then each ends with its response, and
// no client keeps its place by sending request after request.
func (g *Gate) pressed() bool {
	at := g.turnedAwayAt.Load()
	return at != 0 && nanos(time.Now())-at < int64(pressedTime)
}

// Counters returns what the gate holds and whom it has turned away, by reason.
func (g *Gate) Counters() map[string]int64 {
	out := g.counters.snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	out["clients_held_bytes"], out["clients_connections"] = g.held, int64(len(g.conns))
	return out
}

// hold takes n bytes for the connection's request. If there is no room, it displaces others
// and waits for them; with no patience it fails at once.
func (g *Gate) hold(c *conn, n int64, patience time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fits(c, n) {
		return g.take(c, n)
	}
	deadline := time.Now().Add(patience)
	defer c.waitAtGate()()
	for {
		now := time.Now()
		g.displace(c, n, now)
		if g.fits(c, n) {
			return g.take(c, n)
		}
		if c.displaced.Load() {
			return errDisplaced
		}
		if !now.Before(deadline) {
			return errNoRoom
		}
		g.await(min(holdRecheck, deadline.Sub(now)))
	}
}

// await waits, without the lock, until bytes are released or the time is over.
func (g *Gate) await(most time.Duration) {
	freed := g.freed
	g.waiting++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.waiting--
	}()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
}

// room is how many bytes may be held in all for the connection's request to grow by n.
func (g *Gate) room(c *conn, n int64) int64 {
	if c.held.Load()+n <= smallRequestBytes {
		return g.limits.HeldBytes
	}
	return int64(float64(g.limits.HeldBytes) * largeShare)
}

func (g *Gate) fits(c *conn, n int64) bool { return g.held+n <= g.room(c, n) }

func (g *Gate) take(c *conn, n int64) error {
	if c.gone || c.displaced.Load() {
		return errDisplaced
	}
	g.add(c, n)
	return nil
}

// add counts n bytes for the connection, fewer if n is negative.
// Nothing counts for a connection that is gone.
func (g *Gate) add(c *conn, n int64) {
	if c.gone {
		return
	}
	c.held.Add(n)
	g.held += n
	if use, known := g.hosts[c.host]; known {
		use.held += n
	}
	if c.displaced.Load() {
		g.leaving += n
	}
	if n < 0 && g.waiting > 0 {
		close(g.freed)
		g.freed = make(chan struct{})
	}
}

// release returns n of the connection's bytes.
func (g *Gate) release(c *conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(c, -n)
}

// releaseAll returns all that the connection holds.
func (g *Gate) releaseAll(c *conn) {
	if c.held.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(c, -c.held.Load())
}

// refuseHeader gives up a connection whose header finds no room.
func (g *Gate) refuseHeader(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.giveUp(c, reasonHeader, time.Now())
}

// markWhole marks the connection's request as read whole, unless it has been displaced.
func (g *Gate) markWhole(c *conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.displaced.Load() || c.gone {
		return errDisplaced
	}
	if c.stalled {
		return errStalled
	}
	c.phase.Store(phaseServed)
	return nil
}
