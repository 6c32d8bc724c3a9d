package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// TestPoll_AcknowledgesNothingAfterMissedPoll checks that a poll which may reach a later
// incarnation does not acknowledge outcomes by the numbers of an earlier one.
func TestPoll_AcknowledgesNothingAfterMissedPoll(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 2)
	f.advance(100 * time.Millisecond)
	f.s.Submit(f.newJob("j", fleet.Step{EstimateMillis: 10}), f.now)
	f.advance(50 * time.Millisecond)
	f.now = f.now.Add(50 * time.Millisecond)
	f.poll("w-1")
	f.applyBatches()
	request, _ := f.s.PreparePoll("w-1", f.now, true)
	require.Equal(t, int64(1), request.RecordedThrough)
	f.s.HandlePollFailure(f.s.workers["w-1"].endpoint(), unknownOutcome(), f.now)
	request, _ = f.s.PreparePoll("w-1", f.now, true)
	require.Zero(t, request.RecordedThrough, "outcomes of a worker that may have restarted are acknowledged")
	f.s.HandleStatus("w-1", &fleet.WorkerStatus{ClockMillis: f.now.UnixMilli(), StartedAtMillis: 1, Finished: f.finished["w-1"]}, f.now, f.now)
	request, _ = f.s.PreparePoll("w-1", f.now, true)
	require.Equal(t, int64(1), request.RecordedThrough, "the worker has not restarted")
}
