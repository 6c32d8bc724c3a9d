package admission

import "time"

// start runs a request on a free slot.
func (m *model) start(n *node, team string, took time.Duration, deadline time.Time) {
	m.free--
	n.held++
	n.running[team]++
	at := m.now.Add(max(modelTick, took))
	m.endAt(at, end{node: n, team: team, took: took, ran: true})
	at = at.Add(m.turnover)
	m.endAt(at, end{node: n, team: team, took: took + m.turnover})
	if at.After(deadline) {
		m.results.wasted++
	} else {
		m.results.inTime++
	}
}

func (m *model) endAt(at time.Time, e end) {
	m.ends[at.UnixMilli()] = append(m.ends[at.UnixMilli()], e)
}

func (m *model) finish(e end) {
	if e.ran {
		e.node.idle[e.team]++
		return
	}
	e.node.idle[e.team]--
	e.node.held--
	e.node.running[e.team]--
	e.node.line.RunTimes(m.now, e.team).Observe(m.now, e.took)
	if m.policy != firstCome && m.passOn(e.node) {
		return
	}
	m.found[m.now.Add(m.transfer).UnixMilli()]++
}

// passOn gives a slot that has come free to a waiter of the same entry.
func (m *model) passOn(n *node) bool {
	if !n.line.MayTakeSlot(m.now, n.held) {
		return false
	}
	m.free++
	if m.serve(n) {
		return true
	}
	m.free--
	return false
}

// pump gives free slots to the waiters of an entry, as far as it may.
func (m *model) pump(n *node) {
	if m.policy == firstCome {
		m.pumpFirstCome(n)
		return
	}
	for m.free > 0 && n.line.MayTakeSlot(m.now, n.held) {
		if !m.serve(n) {
			return
		}
	}
}

// serve starts the next waiter of the entry on a free slot, if there is one.
func (m *model) serve(n *node) bool {
	w := n.line.Next(m.now, func(w *Waiter) bool { return m.underLimit(w.Team) })
	if w == nil {
		return false
	}
	m.start(n, w.Team, m.jobs[w], w.Deadline)
	delete(m.jobs, w)
	return true
}
