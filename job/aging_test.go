package job

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/placement"
)

// queueWait is the maximum wait of urgent requests in the admission queue.
const queueWait = 1500 * time.Millisecond

// overloadedStarter offers slots only to jobs in the admission queue.
type overloadedStarter struct{ Starter }

func (overloadedStarter) Place(ctx context.Context, _ string, _ []string, _ string) (*placement.LeasedSlot, bool) {
	<-ctx.Done()
	return nil, false
}

func (o overloadedStarter) PlaceQueued(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case <-time.After(queueWait):
		return o.Starter.Place(ctx, team, pools, avoid)
	}
}

// TestRunner_StopCancelsQueuedPlacement checks that an entry that stops does
// not wait for a slot of a queued job.
func TestRunner_StopCancelsQueuedPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		for _, e := range cluster.entries {
			e.cfg.Starter = overloadedStarter{e.cfg.Starter}
		}
		cluster.accept("j", teamA, true, taskBody)
		time.Sleep(agingThreshold + placeTimeout + queueWait/3)
		stoppedAt := time.Now()
		require.NoError(t, cluster.entries[0].Stop(testContext(t)))
		require.LessOrEqual(t, time.Since(stoppedAt), scanInterval)
		require.Empty(t, cluster.fleet.StartCounts())
	})
}

// TestRunner_AgedJobsUnderOverload keeps requests waiting at all times: one job
// at a time gets a slot, holds it while protected, and then can be preempted
// for the next.
func TestRunner_AgedJobsUnderOverload(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t)
				for _, e := range cluster.entries {
					e.cfg.Starter = overloadedStarter{e.cfg.Starter}
				}
				for i := range 3 {
					cluster.accept(fmt.Sprint(i), teamA, idempotent, `{"work_ms":600000}`)
				}
				preempt := func() int { return cluster.entries[0].Preempt(context.Background(), nil, slots) }
				time.Sleep(agingThreshold - time.Second)
				require.Empty(t, cluster.fleet.StartCounts())
				time.Sleep(4 * time.Second)
				require.Len(t, cluster.fleet.StartCounts(), 1, "one job at a time")
				require.Zero(t, preempt(), "an aged job is protected from preemption at first")
				time.Sleep(preemptionProtection + 2*time.Second)
				if !idempotent {
					require.Len(t, cluster.fleet.StartCounts(), 1, "a job that cannot be preempted keeps its slot")
					return
				}
				require.Len(t, cluster.fleet.StartCounts(), 2)
				require.Equal(t, 1, preempt(), "the first is preempted now")
				time.Sleep(time.Second)
				require.Zero(t, preempt(), "the second is still protected")
			})
		})
	}
}
