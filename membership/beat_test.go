package membership

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// callerFunc is a Caller that answers heartbeats.
type callerFunc func(question *peerpb.Heartbeat) *peerpb.Heartbeat

func (f callerFunc) Call(_ context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: f(wire(req.GetHeartbeat()))}}, nil
}

// TestBeat checks over rounds what is asked for, and that each answer tells
// the peer's latest offset and load.
func TestBeat(t *testing.T) {
	clock := clockwork.NewFakeClock()
	running := int64(0)
	applied := uint64(0)
	config := Config{
		Self: "peer", Clock: clock, State: statemachine.New,
		View: func() View {
			return View{AvailabilityZone: "z", Teams: []*peerpb.TeamLoad{{Team: "a", Running: running}, {Team: "b"}}}
		},
		FillHeartbeat: func(out *peerpb.Heartbeat) { out.Applied = applied },
	}
	peer := New(config)
	var asked []uint64
	spoilt := false
	config.Self = "self"
	config.Seeds = []string{"10.0.0.1:1"}
	config.Client = callerFunc(func(question *peerpb.Heartbeat) *peerpb.Heartbeat {
		asked = append(asked, question.GetHeldVersion())
		out := wire(peer.HandleHeartbeat(question))
		if spoilt && out.GetDelta() {
			out.Version = 0
		}
		return out
	})
	self := New(config)
	rounds := []struct {
		name  string
		do    func()
		asked []uint64
	}{
		{"first", func() {}, []uint64{0}},
		{"nothing new", func() {}, []uint64{1}},
		{"a change of load", func() { running = 3 }, []uint64{1}},
		{"after the change", func() {}, []uint64{2}},
		{"an answer that does not fit", func() { spoilt = true }, []uint64{2, 0}},
		{"after a gap", func() { clock.Advance(2 * ReachabilityTimeout) }, []uint64{0}},
		{"the peer restarts", func() { config.Self = "again"; peer = New(config) }, []uint64{2}},
		{"after the restart", func() { spoilt = false }, []uint64{1}},
	}
	for _, round := range rounds {
		t.Run(round.name, func(t *testing.T) {
			applied++
			asked = nil
			clock.Advance(HeartbeatInterval)
			round.do()
			self.SendHeartbeats(context.Background())
			require.Equal(t, round.asked, asked)
			last := self.held()["10.0.0.1:1"]
			require.Equal(t, peer.cfg.Self, last.GetIncarnation())
			require.Equal(t, applied, last.GetApplied())
			require.Equal(t, running, last.GetTeams()[0].GetRunning())
			require.Equal(t, "z", last.GetAvailabilityZone())
		})
	}
}
