package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// viewFault is a fault between self and peer, after which self must hold the
// peer's latest view.
type viewFault struct {
	name string
	run  func(m *viewModel)
}

// mustDeliver delivers an exchange whose response matches its query.
func (m *viewModel) mustDeliver(e viewExchange) {
	if err := m.deliver(e); err != nil && !m.unsafeDeltas {
		panic(err)
	}
}

var viewFaults = []viewFault{
	{"a lost response", func(m *viewModel) {
		m.load(0, 1)
		m.exchange()
		m.load(1, 1)
		m.mustDeliver(m.exchange())
	}},
	{"a lost reachable set", func(m *viewModel) {
		m.reach(7)
		m.exchange()
		m.load(1, 1)
		m.mustDeliver(m.exchange())
	}},
	{"a duplicated response", func(m *viewModel) {
		m.load(0, 1)
		first := m.exchange()
		m.mustDeliver(first)
		m.load(0, 2)
		m.mustDeliver(m.exchange())
		m.mustDeliver(first)
	}},
	{"responses in reverse order", func(m *viewModel) {
		m.load(0, 1)
		first := m.exchange()
		m.load(0, 2)
		m.load(1, 2)
		second := m.exchange()
		m.mustDeliver(second)
		m.mustDeliver(first)
	}},
	{"queries in reverse order", func(m *viewModel) {
		first, second := m.newExchange(), m.newExchange()
		m.load(0, 1)
		m.answer(&second)
		m.load(0, 2)
		m.answer(&first)
		m.mustDeliver(first)
		m.mustDeliver(second)
	}},
	{"a restarted peer", func(m *viewModel) {
		m.restart(5, 6, 7)
		m.load(0, 4)
		m.mustDeliver(m.exchange())
	}},
	{"a reachable set that became empty", func(m *viewModel) {
		m.reach(7)
		m.mustDeliver(m.exchange())
		m.reach()
		m.exchange()
		m.mustDeliver(m.exchange())
	}},
}

// TestView_Faults checks that self holds the peer's latest view after each
// fault, and that it does not if the peer sends the changes since its last
// response and self applies them to any view.
func TestView_Faults(t *testing.T) {
	for _, fault := range viewFaults {
		for _, unsafeDeltas := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/unsafeDeltas=%v", fault.name, unsafeDeltas), func(t *testing.T) {
				m := newViewModel(unsafeDeltas)
				m.mustDeliver(m.exchange())
				fault.run(m)
				latest := m.held.GetIncarnation() == m.peer.incarnation && viewText(m.held) == viewText(m.peer.fullView())
				require.Equal(t, !unsafeDeltas, latest, viewText(m.held))
			})
		}
	}
}

// TestViewHistory_Answer covers which queries are answered with a delta.
func TestViewHistory_Answer(t *testing.T) {
	m := newViewModel(false)
	m.load(0, 1)
	m.load(0, 2)
	own := HashIncarnation("peer-1")
	cases := []struct {
		name     string
		question *peerpb.Heartbeat
		delta    bool
		teams    int
	}{
		{"no view held", &peerpb.Heartbeat{}, false, 3},
		{"latest version", &peerpb.Heartbeat{HeldIncarnation: own, HeldVersion: 3}, true, 0},
		{"earlier version", &peerpb.Heartbeat{HeldIncarnation: own, HeldVersion: 1}, true, 1},
		{"version not yet sent", &peerpb.Heartbeat{HeldIncarnation: own, HeldVersion: 4}, false, 3},
		{"other incarnation", &peerpb.Heartbeat{HeldIncarnation: own + 1, HeldVersion: 3}, false, 3},
		{"own incarnation without a version", &peerpb.Heartbeat{HeldIncarnation: own}, false, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := m.peer.Answer(c.question)
			require.Equal(t, c.delta, answer.GetDelta())
			require.Equal(t, !c.delta, answer.GetIncarnation() == "peer-1")
			require.Len(t, answer.GetTeams(), c.teams)
		})
	}
	m.current.Teams = m.current.Teams[:2]
	m.publish()
	require.False(t, m.peer.Answer(&peerpb.Heartbeat{HeldIncarnation: own, HeldVersion: 3}).GetDelta(), "a team was removed")
}

// TestReconstruct_Mismatch covers the responses that must be rejected.
func TestReconstruct_Mismatch(t *testing.T) {
	m := newViewModel(false)
	m.load(0, 1)
	base := m.peer.fullView()
	cases := []struct {
		name         string
		base, answer *peerpb.Heartbeat
		want         error
	}{
		{"a delta without a base", nil, &peerpb.Heartbeat{Delta: true, Version: 2}, errNoBase},
		{"a stale version", base, &peerpb.Heartbeat{Delta: true, Version: 1}, errOlderVersion},
		{"no version", base, &peerpb.Heartbeat{Delta: true}, errOlderVersion},
		{"an unknown team", base, &peerpb.Heartbeat{Delta: true, Version: 3, Teams: []*peerpb.TeamLoad{{Team: "other"}}}, errUnknownTeam},
		{"a full view without an incarnation", base, &peerpb.Heartbeat{Version: 3}, errNoIncarnation},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Reconstruct(c.base, c.answer)
			require.ErrorIs(t, err, c.want)
			require.True(t, isMismatch(err))
		})
	}
}

// TestView_Property checks under lost, duplicated and reordered queries and
// responses, changes and restarts that the held view is always one that its
// sender had, and never older than a previous one of the same incarnation.
func TestView_Property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newViewModel(false)
		indexes := make(map[string]int)
		var exchanges []viewExchange
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			value := int64(step + 1)
			choice := rapid.IntRange(0, 11).Draw(t, "step")
			switch choice {
			case 0:
				m.restart(value, value, value)
				continue
			case 1:
				m.reach(uint32(value))
				continue
			case 2, 3:
				m.load(rapid.IntRange(0, 2).Draw(t, "team"), value)
				continue
			case 4, 5, 6:
				exchanges = append(exchanges, m.newExchange())
				continue
			}
			if len(exchanges) == 0 {
				continue
			}
			e := &exchanges[rapid.IntRange(0, len(exchanges)-1).Draw(t, "exchange")]
			if e.answer == nil {
				m.answer(e)
				continue
			}
			if err := m.deliver(*e); err != nil {
				t.Fatalf("mismatch without a cause: %v", err)
			}
			incarnation := m.held.GetIncarnation()
			if index := m.viewIndex(); index < indexes[incarnation] {
				t.Fatalf("view %q: index %d after %d", viewText(m.held), index, indexes[incarnation])
			}
			indexes[incarnation] = m.viewIndex()
		}
	})
}
