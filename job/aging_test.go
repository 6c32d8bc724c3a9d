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

// lineWait is the longest wait of urgent requests in line.
const lineWait = 1500 * time.Millisecond

// overloaded has no slot but for those that wait in line.
type overloaded struct{ Starter }

func (overloaded) Place(ctx context.Context, _ string, _ []string, _ string) (*placement.LeasedSlot, bool) {
	<-ctx.Done()
	return nil, false
}

func (o overloaded) PlaceQueued(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case <-time.After(lineWait):
		return o.Starter.Place(ctx, team, pools, avoid)
	}
}

// TestRunner_StopEndsTheWaitInLine checks that an entry that stops does not wait
// for a slot.
func TestRunner_StopEndsTheWaitInLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for _, e := range w.entries {
			e.cfg.Starter = overloaded{e.cfg.Starter}
		}
		w.accept("j", teamA, true, work)
		time.Sleep(agedAfter + placeFor + lineWait/3)
		begun := time.Now()
		require.NoError(t, w.entries[0].Stop(timeout(t)))
		require.LessOrEqual(t, time.Since(begun), scanInterval)
		require.Empty(t, w.fleet.StartCounts())
	})
}

// TestRunner_AgedJobsUnderOverload lets requests wait without end: one job at a
// time comes to a slot, keeps it for a while, and then gives way for the next.
func TestRunner_AgedJobsUnderOverload(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				for _, e := range w.entries {
					e.cfg.Starter = overloaded{e.cfg.Starter}
				}
				for i := range 3 {
					w.accept(fmt.Sprint(i), teamA, idempotent, `{"work_ms":600000}`)
				}
				preempt := func() int { return w.entries[0].Preempt(context.Background(), nil, slots) }
				time.Sleep(agedAfter - time.Second)
				require.Empty(t, w.fleet.StartCounts())
				time.Sleep(4 * time.Second)
				require.Len(t, w.fleet.StartCounts(), 1, "one job at a time")
				require.Zero(t, preempt(), "it keeps its slot for a while")
				time.Sleep(protectedFor + 2*time.Second)
				if !idempotent {
					require.Len(t, w.fleet.StartCounts(), 1, "a job that never gives way keeps its place")
					return
				}
				require.Len(t, w.fleet.StartCounts(), 2)
				require.Equal(t, 1, preempt(), "the first gives way now")
				time.Sleep(time.Second)
				require.Zero(t, preempt(), "the second does not yet")
			})
		})
	}
}
