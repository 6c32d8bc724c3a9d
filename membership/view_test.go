package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// viewFault is a fault between asker and peer. After it the asker must hold the
// peer's latest view.
type viewFault struct {
	name string
	run  func(m *viewModel)
}

// must delivers an exchange whose answer fits its question.
func (m *viewModel) must(e viewExchange) {
	if err := m.arrive(e); err != nil && !m.naive {
		panic(err)
	}
}

var viewFaults = []viewFault{
	{"a lost answer", func(m *viewModel) {
		m.load(0, 1)
		m.ask()
		m.load(1, 1)
		m.must(m.ask())
	}},
	{"a lost reachable set", func(m *viewModel) {
		m.reach(7)
		m.ask()
		m.load(1, 1)
		m.must(m.ask())
	}},
	{"a doubled answer", func(m *viewModel) {
		m.load(0, 1)
		first := m.ask()
		m.must(first)
		m.load(0, 2)
		m.must(m.ask())
		m.must(first)
	}},
	{"answers in reverse order", func(m *viewModel) {
		m.load(0, 1)
		first := m.ask()
		m.load(0, 2)
		m.load(1, 2)
		second := m.ask()
		m.must(second)
		m.must(first)
	}},
	{"questions in reverse order", func(m *viewModel) {
		first, second := m.question(), m.question()
		m.load(0, 1)
		m.answer(&second)
		m.load(0, 2)
		m.answer(&first)
		m.must(first)
		m.must(second)
	}},
	{"a restarted peer", func(m *viewModel) {
		m.restart(5, 6, 7)
		m.load(0, 4)
		m.must(m.ask())
	}},
	{"a reachable set that became empty", func(m *viewModel) {
		m.reach(7)
		m.must(m.ask())
		m.reach()
		m.ask()
		m.must(m.ask())
	}},
}

// TestView_Faults checks that the asker holds the peer's latest view after each
// fault, and that changes since the peer's last answer, put into whatever is
// held, do not lead there.
func TestView_Faults(t *testing.T) {
	for _, fault := range viewFaults {
		for _, naive := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/naive=%v", fault.name, naive), func(t *testing.T) {
				m := newViewModel(naive)
				m.must(m.ask())
				fault.run(m)
				latest := m.held.GetIncarnation() == m.peer.incarnation && viewText(m.held) == viewText(m.peer.full())
				require.Equal(t, !naive, latest, viewText(m.held))
			})
		}
	}
}

// TestViewHistory_Answer covers which questions are answered by a delta.
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
		{"nothing held", &peerpb.Heartbeat{}, false, 3},
		{"latest version", &peerpb.Heartbeat{HeldIncarnation: own, HeldVersion: 3}, true, 0},
		{"earlier version", &peerpb.Heartbeat{HeldIncarnation: own, HeldVersion: 1}, true, 1},
		{"version not yet given", &peerpb.Heartbeat{HeldIncarnation: own, HeldVersion: 4}, false, 3},
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
	require.False(t, m.peer.Answer(&peerpb.Heartbeat{HeldIncarnation: own, HeldVersion: 3}).GetDelta(), "a team has gone")
}

// TestReconstruct_Doubt covers the answers that must not be used.
func TestReconstruct_Doubt(t *testing.T) {
	m := newViewModel(false)
	m.load(0, 1)
	base := m.peer.full()
	cases := []struct {
		name         string
		base, answer *peerpb.Heartbeat
		want         error
	}{
		{"a delta to no question for one", nil, &peerpb.Heartbeat{Delta: true, Version: 2}, errNoBase},
		{"a stale version", base, &peerpb.Heartbeat{Delta: true, Version: 1}, errOlderVersion},
		{"no version", base, &peerpb.Heartbeat{Delta: true}, errOlderVersion},
		{"an unknown team", base, &peerpb.Heartbeat{Delta: true, Version: 3, Teams: []*peerpb.TeamLoad{{Team: "other"}}}, errUnknownTeam},
		{"a whole view of nobody", base, &peerpb.Heartbeat{Version: 3}, errNoIncarnation},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Reconstruct(c.base, c.answer)
			require.ErrorIs(t, err, c.want)
			require.True(t, isDoubtful(err))
		})
	}
}

// TestView_Property checks under lost, doubled and reordered questions and
// answers, changes and restarts that the held view is always one that its
// sender had, and of each incarnation never an older one than before.
func TestView_Property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newViewModel(false)
		ranks := make(map[string]int)
		var under []viewExchange
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
				under = append(under, m.question())
				continue
			}
			if len(under) == 0 {
				continue
			}
			e := &under[rapid.IntRange(0, len(under)-1).Draw(t, "exchange")]
			if e.answer == nil {
				m.answer(e)
				continue
			}
			if err := m.arrive(*e); err != nil {
				t.Fatalf("doubt without a cause: %v", err)
			}
			incarnation := m.held.GetIncarnation()
			if rank := m.rank(); rank < ranks[incarnation] {
				t.Fatalf("view %q: place %d after %d", viewText(m.held), rank, ranks[incarnation])
			}
			ranks[incarnation] = m.rank()
		}
	})
}
