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

// TestVMListPoller_LeavesQueueCapacityForChanges registers more VMs than the
// stream's queue holds, while nothing is appended, and checks that the queue
// still accepts an operator's change.
func TestVMListPoller_LeavesQueueCapacityForChanges(t *testing.T) {
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
		(&vmListPoller{stream: stream, logger: hclog.NewNullLogger()}).registerVMs(ctx, list)
	}()
	time.Sleep(100 * time.Millisecond)
	change, cancelChange := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancelChange()
	_, err := stream.Propose(change, &statemachine.PoolSet{})
	require.Equal(t, provider.CodeTimeout, provider.CodeOf(err), "%v", err)
	cancel()
	<-done
}
