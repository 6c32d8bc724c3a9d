package ingress

import (
	"net"
	"time"
)

// listener admits connections up to the gate's bound.
type listener struct {
	net.Listener
	gate *Gate
}

// Listener returns a listener whose connections the gate counts.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

// Accept implements net.Listener. A connection beyond the bound takes the place of one that
// has stood still, or is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw, time.Now()); c != nil {
			return c, nil
		}
		// The client is turned away; what its close returns changes nothing.
		_ = raw.Close()
	}
}

// admit counts the connection. It returns nil if there is no place for it.
func (g *Gate) admit(raw net.Conn, now time.Time) *conn {
	c := &conn{Conn: raw, gate: g, host: hostOf(raw)}
	c.begin(phaseHeader, now)
	victim, admitted := g.enter(c, now)
	if !admitted {
		g.turnedAwayAt.Store(nanos(now))
		g.counters.count(reasonConnections, now)
		return nil
	}
	if victim != nil {
		g.counters.count(reasonConnections, now)
		// The victim is given up whatever its close returns, and when.
		go victim.Close()
	}
	return c
}

// enter adds the connection, and returns the one that leaves for it.
func (g *Gate) enter(c *conn, now time.Time) (victim *conn, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.limits.Connections {
		victim = g.displaceConnection(now)
		if victim == nil {
			return nil, false
		}
		g.drop(victim)
	}
	g.conns[c] = struct{}{}
	use, known := g.hosts[c.host]
	if !known {
		use = &hostUse{}
		g.hosts[c.host] = use
	}
	use.conns++
	return victim, true
}

// remove forgets a connection and what it holds.
func (g *Gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(c)
}

func (g *Gate) drop(c *conn) {
	if _, known := g.conns[c]; !known {
		return
	}
	delete(g.conns, c)
	g.add(c, -c.held.Load())
	c.gone = true
	use := g.hosts[c.host]
	use.conns--
	if use.conns == 0 {
		delete(g.hosts, c.host)
	}
}

// holdUnchecked counts n bytes that are held already.
func (g *Gate) holdUnchecked(c *conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(c, n)
}

func hostOf(c net.Conn) string {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return string(tcp.IP)
	}
	return ""
}
