package admission

import "time"

// start runs a request on a free slot.
func (m *model) start(n *node, team string, took time.Duration, deadline time.Time) {
	m.free--
	n.held++
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

func (m *model) completeAt(at time.Time, e completion) {
	m.completions[at.UnixMilli()] = append(m.completions[at.UnixMilli()], e)
}

func (m *model) finish(e completion) {
	if e.ran {
		e.node.idle[e.team]++
		return
	}
	e.node.idle[e.team]--
	e.node.held--
	e.node.running[e.team]--
	e.node.waitQueue.RunTimes(m.now, e.team).Observe(m.now, e.took)
	if m.policy != firstComeFirstServed && m.reassignSlot(e.node) {
		return
	}
	m.slotsFreedAt[m.now.Add(m.transfer).UnixMilli()]++
}

// reassignSlot gives a slot that has come free to a waiter of the same entry.
func (m *model) reassignSlot(n *node) bool {
	if !n.waitQueue.MayTakeSlot(m.now, n.held) {
		return false
	}
	m.free++
	if m.serve(n) {
		return true
	}
	m.free--
	return false
}

// dispatch gives free slots to the waiters of an entry, as far as it may.
func (m *model) dispatch(n *node) {
	if m.policy == firstComeFirstServed {
		m.dispatchFirstCome(n)
		return
	}
	for m.free > 0 && n.waitQueue.MayTakeSlot(m.now, n.held) {
		if !m.serve(n) {
			return
		}
	}
}

// serve starts the next waiter of the entry on a free slot, if there is one.
func (m *model) serve(n *node) bool {
	w := n.waitQueue.Next(m.now, func(w *Waiter) bool { return m.underLimit(w.Team) })
	if w == nil {
		return false
	}
	m.start(n, w.Team, m.runTimes[w], w.Deadline)
	delete(m.runTimes, w)
	return true
}
