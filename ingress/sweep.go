package ingress

import "time"

// sweepFraction is the part of the stall time between two looks for clients that stand
// still: one look for all of them costs less than a deadline for each read and write.
const sweepFraction = 4

// watch makes sure that clients who stand still are looked for while one could.
func (g *Gate) watch() {
	if g.watching.Load() || g.watching.Swap(true) {
		return
	}
	due := time.Now().Add(g.limits.Stall / sweepFraction)
	time.AfterFunc(time.Until(due), func() { g.sweep(due) })
}

// sweep ends the requests that stand still and the connections whose responses wait for
// their reader. It runs again while there are any that could. A process that has itself
// stood still does not tell by it who has.
func (g *Gate) sweep(due time.Time) {
	// Who begins from here on starts the next one; who began before is seen below.
	g.watching.Store(false)
	now := time.Now()
	if now.Sub(due) > g.limits.Stall/sweepFraction || g.endStalled(now) {
		g.watch()
	}
}

// endStalled reports whether clients are at sending or reading.
func (g *Gate) endStalled(now time.Time) (active bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		switch c.phase.Load() {
		case phaseBody:
			active = true
			if c.stalledBody(now, g.limits.Stall) && !c.stalled {
				c.stalled = true
				c.endRead()
			}
		case phaseServed:
			since := c.writingSince.Load()
			active = active || since != 0
			if since != 0 && nanos(now)-since > int64(g.limits.Stall) && !c.displaced.Load() {
				g.giveUp(c, reasonSlowReader, now)
			}
		}
	}
	return active
}

// stalledBody reports whether the body has stood still for the stall time, or comes slower
// than minRate.
func (c *conn) stalledBody(now time.Time, stall time.Duration) bool {
	at := nanos(now)
	if at-c.movedAt.Load() > int64(stall) {
		return true
	}
	expected := int64(stall) + c.received.Load()*int64(time.Second)/minRate
	return at-c.startedAt.Load() > expected
}
