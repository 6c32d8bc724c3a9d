package fleetentry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/platform"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

// TestVMs_OrderWaitsLongerThanTheLease guards against an order that waits for a connection
// to the slow VM interface and is sent after the leader's lease has ended: the next leader's
// orders may have been sent before it.
func TestVMs_OrderWaitsLongerThanTheLease(t *testing.T) {
	t.Parallel()
	const orders, latency = 36, 200 * time.Millisecond
	var mu sync.Mutex
	var arrived []time.Time
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		arrived = append(arrived, time.Now())
		mu.Unlock()
		time.Sleep(latency)
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(server.Close)
	journal := NewJournal(nil, 1, hclog.NewNullLogger(), NewMetrics(), nil)
	lastStored := time.Now()
	journal.lastAppendAt.Store(&lastStored)
	l := &Leader{journal: journal, sched: scheduler.New(scheduler.Config{}, lastStored), metrics: NewMetrics(), log: hclog.NewNullLogger(), wake: make(chan struct{}, 1)}
	controller := NewVMController(platform.NewVMs(server.Listener.Addr().String(), "entry"))
	var group sync.WaitGroup
	for i := range orders {
		group.Go(func() {
			controller.execute(t.Context(), l, scheduler.VMOperation{Kind: scheduler.VMMove, VM: fmt.Sprint(i), Pool: "desk"})
		})
	}
	group.Wait()
	require.NotEmpty(t, arrived)
	for _, at := range arrived {
		require.Less(t, at.Sub(lastStored), vmLeaderLeaseDuration, "an order arrives after the lease")
	}
}
