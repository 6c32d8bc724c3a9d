package entry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestDemandMonitor_StartsMoves checks that the first member drains an idle
// VM for a pool with a persistent shortage, one VM at a time, and that other
// entries start no moves.
func TestDemandMonitor_StartsMoves(t *testing.T) {
	ctx := t.Context()
	stream := logstream.New(logstream.Config{
		Name: "control", Writer: "e", Log: fakelog.New(clockwork.NewRealClock()), Clock: clockwork.NewRealClock(),
		Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
	}, statemachine.New())
	go stream.Run(ctx)
	propose := func(c statemachine.Command) {
		result, err := stream.Propose(ctx, c)
		require.NoError(t, err)
		require.Nil(t, result.Rejection)
	}
	propose(&statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: "e"}})
	for pool, vms := range map[string][]string{"p": {"p1"}, "idle": {"i1", "i2", "i3"}} {
		propose(&statemachine.PoolSet{Pool: statemachine.Pool{Name: pool, MaxUnavailable: 1}})
		propose(&statemachine.TemplateSet{Template: statemachine.Template{Name: pool, Pools: []string{pool}}})
		for _, vm := range vms {
			propose(&statemachine.VMAdd{VM: statemachine.VM{ID: vm, Pool: pool, Slots: 4}})
		}
	}
	propose(&statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: "w", Template: "p", Team: "t", Limit: 99}})

	clock := clockwork.NewFakeClock()
	d := &heartbeatSource{stream: stream, ledger: quota.NewLedger(), localLoads: newLocalLoads()}
	members := membership.New(membership.Config{
		Self: "e", Seeds: []string{"other"}, Client: loadedPeer{}, Clock: clock, State: stream.State, FillHeartbeat: d.fill,
	})
	observe := func(self string) {
		w := newDemandMonitor(identity{incarnation: self}, stream, members, d, clock, hclog.NewNullLogger())
		for range 600 {
			members.SendHeartbeats(context.Background())
			w.sample(ctx)
			clock.Advance(time.Second)
		}
	}
	observe("later")
	require.Zero(t, stream.State().UnderMaintenance.Len())
	observe("e")
	require.Equal(t, 1, stream.State().UnderMaintenance.Len())
	vm, _ := stream.State().VMs.Get("i1")
	require.Equal(t, "p", vm.Maintenance.MoveTo)
}
