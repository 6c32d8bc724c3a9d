package admission

import "time"

// start runs a request on a free slot.
func (m *model) start(n *node, team string, took time.Duration, deadline time.Time) {
	m.free--
	n.heldSlots++
	n.running[team]++
	at := m.now.Add(max(modelTick, took))
	m.completeAt(at, completion{node: n, team: team, took: took, ran: true})
	at = at.Add(m.turnover)
	m.completeAt(at, completion{node: n, team: team, took: took + m.turnover})
	if at.After(deadline) {
		m.results.wasted++
	} else {
		m.results.inTime++
	}
}

func (m *model) completeAt(at time.Time, c completion) {
	m.completions[at.UnixMilli()] = append(m.completions[at.UnixMilli()], c)
}

func (m *model) finish(c completion) {
	if c.ran {
		c.node.idle[c.team]++
		return
	}
	c.node.idle[c.team]--
	c.node.heldSlots--
	c.node.running[c.team]--
	c.node.waitQueue.RunTimes(m.now, c.team).Observe(m.now, c.took)
	if m.policy != firstComeFirstServed && m.reassignSlot(c.node) {
		return
	}
	m.slotsFreedAt[m.now.Add(m.transfer).UnixMilli()]++
}

// reassignSlot assigns a released slot to a waiter of the same entry.
func (m *model) reassignSlot(n *node) bool {
	if !n.waitQueue.MayTakeSlot(m.now, n.heldSlots) {
		return false
	}
	m.free++
	if m.serve(n) {
		return true
	}
	m.free--
	return false
}

// dispatch assigns free slots to the waiters of an entry, within its share.
func (m *model) dispatch(n *node) {
	if m.policy == firstComeFirstServed {
		m.dispatchFirstCome(n)
		return
	}
	for m.free > 0 && n.waitQueue.MayTakeSlot(m.now, n.heldSlots) {
		if !m.serve(n) {
			return
		}
	}
}

// serve starts the entry's next waiter on a free slot, if there is one.
func (m *model) serve(n *node) bool {
	w := n.waitQueue.Next(m.now, func(w *Waiter) bool { return m.underLimit(w.Team) })
	if w == nil {
		return false
	}
	m.start(n, w.Team, m.runTimes[w], w.Deadline)
	delete(m.runTimes, w)
	return true
}
