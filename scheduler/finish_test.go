package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// TestFinish_TakeoverBetweenItsRecords guards against tasks that run again because a leader
// was lost while it stored the end of their job: after any number of its records, the next
// leader takes the job as it was before or as finished, and leaves no record behind.
func TestFinish_TakeoverBetweenItsRecords(t *testing.T) {
	f := twoWorkers(t)
	sub := f.newJob("j", fleet.Step{Count: 4, EstimateMillis: 100}, fleet.Step{EstimateMillis: 100, DependsOn: []int{0}})
	f.s.Submit(sub, f.now)
	stored := []ledgerRecord{}
	for f.s.jobs["j"] != nil && !f.s.jobs["j"].finished {
		f.now = f.now.Add(50 * time.Millisecond)
		for id := range f.workers {
			f.poll(id)
		}
		if f.s.jobs["j"].finished {
			break
		}
		f.s.Place(f.now)
		stored = append(stored, f.applyBatches()...)
	}
	last := f.s.TakeBatch().Records
	require.Greater(t, len(last), 5)
	for n := range len(last) + 1 {
		view := ledger.NewView()
		require.NoError(t, view.Apply(ledger.SubmissionRecord(*sub)))
		for _, r := range stored {
			require.NoError(t, view.Apply(fleet.Record(r)))
		}
		for _, r := range last[:n] {
			require.NoError(t, view.Apply(r))
		}
		f.s = f.newLeader(int64(n + 2))
		f.s.RestoreJob(view.Jobs["j"], f.now)
		f.advance(300 * time.Millisecond)
		for _, r := range f.recorded {
			require.NoError(t, view.Apply(fleet.Record(r)))
		}
		f.recorded = nil
		for i := range 4 {
			require.LessOrEqual(t, f.attempts[taskOf("j", i)], 1, "task %d runs again after %d records", i, n)
		}
		require.Equal(t, ledger.StateCompleted, view.Jobs["j"].State())
		require.Empty(t, view.Jobs["j"].Tasks, "records of tasks are left after %d records", n)
	}
}
