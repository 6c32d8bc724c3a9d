package ingress

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minHoldLag is how far a request must be behind before others may take its room:
	// several times what a request inside the limits needs from one packet to the next.
	minHoldLag = 250 * time.Millisecond
	// minConnLag is the same for the connection itself, which costs a client more.
	minConnLag = time.Second
)

// displace gives up requests until n more bytes fit: those that hold most and progress
// least first, at the addresses that hold most.
func (g *Gate) displace(c *conn, n int64, now time.Time) {
	need := g.held + n - g.room(c, n) - g.leaving
	if need <= 0 || now.Sub(g.holdScannedAt) < scanInterval {
		return
	}
	g.holdScannedAt = now
	victims := g.behind(minHoldLag, now, func(other *conn, lag time.Duration) float64 {
		if other == c || other.held.Load() == 0 {
			return 0
		}
		return lag.Seconds() * float64(other.held.Load()) * float64(g.hosts[other.host].held)
	})
	for _, v := range victims {
		if need <= 0 {
			return
		}
		need -= v.held.Load()
		g.giveUp(v, reasonDisplaced, now)
	}
}

// giveUp ends the request's read, or its connection if its response waits for the reader.
func (g *Gate) giveUp(v *conn, reason string, now time.Time) {
	if v.displaced.Swap(true) {
		return
	}
	g.leaving += v.held.Load()
	g.counters.count(reason, now)
	if v.phase.Load() == phaseServed {
		go v.Close()
		return
	}
	v.endRead()
}

// displaceConnection gives up the connection that has stood still longest, at the address
// that has most of them. It returns nil if none has for long.
func (g *Gate) displaceConnection(now time.Time) *conn {
	if now.Sub(g.connScannedAt) < scanInterval {
		return nil
	}
	victims := g.behind(minConnLag, now, func(other *conn, lag time.Duration) float64 {
		return lag.Seconds() * float64(g.hosts[other.host].conns)
	})
	if len(victims) == 0 {
		g.connScannedAt = now
		return nil
	}
	return victims[0]
}

// behind returns the connections that are behind for at least minLag, the highest rank
// first; those of rank 0 are left out.
func (g *Gate) behind(minLag time.Duration, now time.Time, rank func(*conn, time.Duration) float64) []*conn {
	type ranked struct {
		conn *conn
		rank float64
	}
	var found []ranked
	for c := range g.conns {
		lag := c.lag(now)
		if lag < minLag || c.displaced.Load() {
			continue
		}
		if r := rank(c, lag); r > 0 {
			found = append(found, ranked{c, r})
		}
	}
	slices.SortFunc(found, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	out := make([]*conn, len(found))
	for i := range found {
		out[i] = found[i].conn
	}
	return out
}
