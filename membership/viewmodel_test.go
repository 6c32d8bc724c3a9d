package membership

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// viewModel is one entry, self, and one peer, which gets a new incarnation at the
// same address with each restart. The test controls the exchanges between them.
type viewModel struct {
	// unsafeDeltas makes the peer send the changes since its last response, and
	// self apply them to any view.
	unsafeDeltas bool
	lastAnswered uint64

	at      time.Time
	started int
	current View
	peer    *ViewHistory
	// sentViews holds the views of each incarnation in order.
	sentViews map[string][]string
	known     map[string]Member
	held      *peerpb.Heartbeat
}

// viewExchange is one query with its response.
type viewExchange struct {
	base, answer *peerpb.Heartbeat
	sent         time.Time
}

func newViewModel(unsafeDeltas bool) *viewModel {
	m := &viewModel{unsafeDeltas: unsafeDeltas, at: time.Unix(1000, 0), sentViews: make(map[string][]string), known: make(map[string]Member)}
	m.restart(0, 0, 0)
	return m
}

// restart starts another incarnation with the given loads of its teams.
func (m *viewModel) restart(loads ...int64) {
	m.started++
	m.peer = NewViewHistory(fmt.Sprintf("peer-%d", m.started))
	m.current = View{AvailabilityZone: fmt.Sprintf("zone-%d", m.started)}
	for team, load := range loads {
		m.current.Teams = append(m.current.Teams, &peerpb.TeamLoad{Team: fmt.Sprintf("team-%d", team), Running: load})
	}
	m.publish()
}

// load changes the number of a team's running tasks.
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
	m.sentViews[m.peer.incarnation] = append(m.sentViews[m.peer.incarnation], viewText(m.peer.fullView()))
}

// exchange creates a query and its response, which the test may deliver.
func (m *viewModel) exchange() viewExchange {
	out := m.newExchange()
	m.answer(&out)
	return out
}

func (m *viewModel) newExchange() viewExchange {
	m.at = m.at.Add(time.Millisecond)
	return viewExchange{base: m.held, sent: m.at}
}

// answer passes the query to the peer and stores its response.
func (m *viewModel) answer(e *viewExchange) {
	switch {
	case !m.unsafeDeltas:
		e.answer = m.peer.Answer(wire(NewQuery(e.base)))
	case m.lastAnswered == 0:
		e.answer = m.peer.fullView()
	default:
		e.answer = m.peer.delta(m.lastAnswered)
	}
	m.lastAnswered = m.peer.version
	e.answer = wire(e.answer)
}

// deliver delivers the response to self, which returns the mismatch.
func (m *viewModel) deliver(e viewExchange) error {
	base := e.base
	if m.unsafeDeltas {
		base = m.held
		e.answer.Version = max(e.answer.Version, base.GetVersion())
	}
	whole, err := Reconstruct(base, e.answer)
	if err != nil {
		return err
	}
	member := Member{Incarnation: whole.GetIncarnation(), SentAt: e.sent, LastHeartbeat: whole}
	if known, ok := m.known[member.Incarnation]; ok && !m.unsafeDeltas {
		member = NewerMember(known, member)
	}
	m.known[member.Incarnation] = member
	m.held = member.LastHeartbeat
	return nil
}

// viewIndex returns the index of the held view among those that its sender had,
// or -1 if it had no such view.
func (m *viewModel) viewIndex() int {
	text := viewText(m.held)
	past := m.sentViews[m.held.GetIncarnation()]
	for i := len(past) - 1; i >= 0; i-- {
		if past[i] == text {
			return i
		}
	}
	return -1
}

// viewText returns a text that is equal for equal views.
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
