package membership

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// clientFunc is a PeerClient that responds to heartbeats.
type clientFunc func(question *peerpb.Heartbeat) *peerpb.Heartbeat

func (f clientFunc) Call(_ context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: f(wire(req.GetHeartbeat()))}}, nil
}

// TestSendHeartbeats checks over rounds which version is queried, and that each
// response carries the peer's latest offset and load.
func TestSendHeartbeats(t *testing.T) {
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
	var queriedVersions []uint64
	corrupt := false
	config.Self = "self"
	config.Seeds = []string{"10.0.0.1:1"}
	config.Client = clientFunc(func(query *peerpb.Heartbeat) *peerpb.Heartbeat {
		queriedVersions = append(queriedVersions, query.GetHeldVersion())
		out := wire(peer.HandleHeartbeat(query))
		if corrupt && out.GetDelta() {
			out.Version = 0
		}
		return out
	})
	self := New(config)
	rounds := []struct {
		name     string
		do       func()
		versions []uint64
	}{
		{"first", func() {}, []uint64{0}},
		{"no change", func() {}, []uint64{1}},
		{"a change of load", func() { running = 3 }, []uint64{1}},
		{"after the change", func() {}, []uint64{2}},
		{"a response that does not match the query", func() { corrupt = true }, []uint64{2, 0}},
		{"after a gap", func() { clock.Advance(2 * ReachabilityTimeout) }, []uint64{0}},
		{"the peer restarts", func() { config.Self = "again"; peer = New(config) }, []uint64{2}},
		{"after the restart", func() { corrupt = false }, []uint64{1}},
	}
	for _, round := range rounds {
		t.Run(round.name, func(t *testing.T) {
			applied++
			queriedVersions = nil
			clock.Advance(HeartbeatInterval)
			round.do()
			self.SendHeartbeats(context.Background())
			require.Equal(t, round.versions, queriedVersions)
			last := self.lastHeartbeats()["10.0.0.1:1"]
			require.Equal(t, peer.cfg.Self, last.GetIncarnation())
			require.Equal(t, applied, last.GetApplied())
			require.Equal(t, running, last.GetTeams()[0].GetRunning())
			require.Equal(t, "z", last.GetAvailabilityZone())
		})
	}
}
