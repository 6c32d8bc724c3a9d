package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

// TestBegan_IsStored tells in a task's record whether a run of it has begun, also after a
// takeover: clients ask how many jobs have not.
func TestBegan_IsStored(t *testing.T) {
	last := func(records []ledgerRecord) (a ledger.Assignment) {
		require.NoError(t, json.Unmarshal(records[len(records)-1].Value, &a))
		return a
	}
	f := twoWorkers(t)
	start := f.placeJob("j")
	f.s.HandleStartResponse(&start.Request, start.Endpoint, refusedWith(provider.CodeUnavailable), f.now)
	require.Equal(t, ledger.Assignment{Attempt: 1}, last(f.applyBatches()), "the start was refused")
	f.advance(time.Second)
	f.finishRun(f.workerOf(taskOf("j", 0)), taskOf("j", 0), fleet.RunStopped)
	for id := range f.workers {
		f.poll(id)
	}
	records := f.applyBatches()
	require.Equal(t, ledger.Assignment{Attempt: 2, Began: true}, last(records))
	f.takeover(records, f.newJob("j", fleet.Step{EstimateMillis: secondsToMillis(60)}))
	f.advance(100 * time.Millisecond)
	f.s.HandlePollFailure(f.s.workers["w-1"].endpoint(), refusedWith(provider.CodeWrongIncarnation), f.now)
	f.s.HandlePollFailure(f.s.workers["w-2"].endpoint(), refusedWith(provider.CodeWrongIncarnation), f.now)
	require.Equal(t, ledger.Assignment{Attempt: 3, Began: true}, last(f.applyBatches()), "a new leader forgets it")
}

// TestBegan_IsReportedOnceAJob stores one record for the start of a job with many tasks, soon
// after it, and none where another record tells it first.
func TestBegan_IsReportedOnceAJob(t *testing.T) {
	f := twoWorkers(t)
	f.s.Submit(f.newJob("j", fleet.Step{Count: 6, EstimateMillis: secondsToMillis(60)}), f.now)
	f.s.Place(f.now)
	require.Len(t, f.applyBatches(), 6, "the assignments")
	f.advance(300 * time.Millisecond)
	require.Empty(t, f.recorded, "the record waits for others")
	f.advance(time.Second)
	require.Len(t, f.recorded, 1)
	f.recorded = nil
	f.s.Submit(f.newJob("k", fleet.Step{EstimateMillis: 100}), f.now)
	f.advance(time.Second)
	view := ledger.NewView()
	for _, r := range f.recorded {
		require.NoError(t, view.Apply(fleet.Record(r)))
	}
	require.Equal(t, ledger.OutcomeCompleted, view.Jobs["k"].Result.Outcome)
}
