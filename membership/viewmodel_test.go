package membership

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// viewModel is one asker and one peer, whose restarts take new incarnations at
// the same address, with the exchanges between them in the test's hands.
type viewModel struct {
	// naive makes the peer tell what has changed since its last answer, and
	// the asker put it into whatever it holds.
	naive    bool
	answered uint64

	at      time.Time
	started int
	current View
	peer    *ViewHistory
	// past holds the views of each incarnation in their order.
	past  map[string][]string
	known map[string]Member
	held  *peerpb.Heartbeat
}

// viewExchange is one question with its answer.
type viewExchange struct {
	base, answer *peerpb.Heartbeat
	sent         time.Time
}

func newViewModel(naive bool) *viewModel {
	m := &viewModel{naive: naive, at: time.Unix(1000, 0), past: make(map[string][]string), known: make(map[string]Member)}
	m.restart(0, 0, 0)
	return m
}

// restart starts another incarnation with the loads of its teams.
func (m *viewModel) restart(loads ...int64) {
	m.started++
	m.peer = NewViewHistory(fmt.Sprintf("peer-%d", m.started))
	m.current = View{AvailabilityZone: fmt.Sprintf("zone-%d", m.started)}
	for team, load := range loads {
		m.current.Teams = append(m.current.Teams, &peerpb.TeamLoad{Team: fmt.Sprintf("team-%d", team), Running: load})
	}
	m.publish()
}

// load changes what runs of a team.
func (m *viewModel) load(team int, running int64) {
	m.current.Teams = append([]*peerpb.TeamLoad{}, m.current.Teams...)
	m.current.Teams[team] = &peerpb.TeamLoad{Team: m.current.Teams[team].Team, Running: running}
	m.publish()
}

// reach changes the reachable set.
func (m *viewModel) reach(hashes ...uint32) {
	m.current.Reachable = hashes
	m.publish()
}

func (m *viewModel) publish() {
	m.peer.Update(m.current)
	m.past[m.peer.incarnation] = append(m.past[m.peer.incarnation], viewText(m.peer.full()))
}

// ask makes a question and its answer, which the test delivers or not.
func (m *viewModel) ask() viewExchange {
	out := m.question()
	m.answer(&out)
	return out
}

func (m *viewModel) question() viewExchange {
	m.at = m.at.Add(time.Millisecond)
	return viewExchange{base: m.held, sent: m.at}
}

// answer gives the question to the peer.
func (m *viewModel) answer(e *viewExchange) {
	switch {
	case !m.naive:
		e.answer = m.peer.Answer(wire(NewQuery(e.base)))
	case m.answered == 0:
		e.answer = m.peer.full()
	default:
		e.answer = m.peer.since(m.answered)
	}
	m.answered = m.peer.version
	e.answer = wire(e.answer)
}

// arrive gives the answer to the asker, which reports its doubt.
func (m *viewModel) arrive(e viewExchange) error {
	base := e.base
	if m.naive {
		base = m.held
		e.answer.Version = max(e.answer.Version, base.GetVersion())
	}
	whole, err := Reconstruct(base, e.answer)
	if err != nil {
		return err
	}
	member := Member{Incarnation: whole.GetIncarnation(), SentAt: e.sent, LastHeartbeat: whole}
	if known, ok := m.known[member.Incarnation]; ok && !m.naive {
		member = NewerMember(known, member)
	}
	m.known[member.Incarnation] = member
	m.held = member.LastHeartbeat
	return nil
}

// rank returns the place of the held view among those that its sender had, or
// -1 if it had no such view.
func (m *viewModel) rank() int {
	text := viewText(m.held)
	past := m.past[m.held.GetIncarnation()]
	for i := len(past) - 1; i >= 0; i-- {
		if past[i] == text {
			return i
		}
	}
	return -1
}

// viewText is equal for equal views.
func viewText(h *peerpb.Heartbeat) string {
	var b strings.Builder
	for _, load := range h.GetTeams() {
		fmt.Fprintf(&b, "%s=%d ", load.GetTeam(), load.GetRunning())
	}
	fmt.Fprint(&b, h.GetReachable(), h.GetAvailabilityZone())
	return b.String()
}

// wire returns the heartbeat as its receiver decodes it.
func wire(h *peerpb.Heartbeat) *peerpb.Heartbeat {
	raw, err := proto.Marshal(h)
	if err != nil {
		panic(err)
	}
	out := &peerpb.Heartbeat{}
	if err := proto.Unmarshal(raw, out); err != nil {
		panic(err)
	}
	return out
}
