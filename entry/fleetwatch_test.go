package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestFleetWatch_LeavesRoomForChanges registers more VMs than the stream's
// queue holds, while nothing is appended, and checks that an operator's change
// still finds room in the queue.
func TestFleetWatch_LeavesRoomForChanges(t *testing.T) {
	state, _ := statemachine.New().Apply(0, statemachine.Batch{Writer: "w", Records: []statemachine.Record{
		{Seq: 1, Command: &statemachine.PoolSet{Pool: statemachine.Pool{Name: "p"}}},
	}})
	limits := logstream.DefaultLimits()
	stream := logstream.New(logstream.Config{
		Name: "control", Writer: "e", Clock: clockwork.NewRealClock(), Logger: hclog.NewNullLogger(), Limits: limits,
	}, state)
	var list []provider.VMInfo
	for i := range limits.MaxQueued + 500 {
		list = append(list, provider.VMInfo{ID: fmt.Sprint(i), Pool: "p", State: provider.VMActive})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&fleetWatch{stream: stream, logger: hclog.NewNullLogger()}).register(ctx, list)
	}()
	time.Sleep(100 * time.Millisecond)
	change, giveUp := context.WithTimeout(context.Background(), time.Millisecond)
	defer giveUp()
	_, err := stream.Propose(change, &statemachine.PoolSet{})
	require.Equal(t, provider.CodeTimeout, provider.CodeOf(err), "%v", err)
	cancel()
	<-done
}
