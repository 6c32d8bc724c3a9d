package entry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// loadedPeer answers each heartbeat with a team's load.
type loadedPeer struct{}

func (loadedPeer) Call(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
	return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Incarnation: "other", Teams: []*peerpb.TeamLoad{{Team: "t", Running: 5, Waiting: 3}},
	}}}, nil
}

// TestDemandMonitor_SumsEntryLoads checks that a pool's required VMs follow
// the load of this entry and of the others, and that an entry that no longer
// responds is not counted.
func TestDemandMonitor_SumsEntryLoads(t *testing.T) {
	state, _ := statemachine.New().Apply(0, statemachine.Batch{Writer: "w", Records: []statemachine.Record{
		{Seq: 1, Command: &statemachine.PoolSet{Pool: statemachine.Pool{Name: "p"}}},
		{Seq: 2, Command: &statemachine.VMAdd{VM: statemachine.VM{ID: "vm", Pool: "p", Slots: 8}}},
		{Seq: 3, Command: &statemachine.TemplateSet{Template: statemachine.Template{Name: "x", Pools: []string{"p"}}}},
		{Seq: 4, Command: &statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: "x", Template: "x", Team: "t", Limit: 99}}},
	}})
	clock := clockwork.NewFakeClock()
	stream := logstream.New(logstream.Config{Name: "control", Writer: "e", Clock: clock, Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits()}, state)
	ledger, loads := quota.NewLedger(), newLocalLoads()
	ledger.SetAllotted("t", 0)
	loads.set([]admission.Load{{Team: "t", Waiting: 24}})
	d := &heartbeatSource{stream: stream, ledger: ledger, localLoads: loads}
	members := membership.New(membership.Config{
		Self: "e", Seeds: []string{"other"}, Client: loadedPeer{}, Clock: clock, State: stream.State, FillHeartbeat: d.fill,
	})
	w := newDemandMonitor(identity{incarnation: "e"}, stream, members, d, clock, hclog.NewNullLogger())
	require.Nil(t, w.requiredVMs())

	members.SendHeartbeats(context.Background())
	w.sample(context.Background())
	clock.Advance(time.Second)
	w.sample(context.Background())
	require.Equal(t, map[string]int{"p": 5}, w.requiredVMs(), "32 slots of demand, at most 8 of 10 slots used")

	clock.Advance(membership.ReachabilityTimeout)
	require.InDelta(t, 24.0, w.loads()["t"].Waiting, 0)
	require.Zero(t, w.loads()["t"].Running)
}
