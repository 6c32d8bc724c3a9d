package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// TestSubmit_EntryClockHasJumped submits jobs through entries whose time of day has
// jumped by three seconds, back and ahead: a new job is neither late on arrival nor due
// in the future.
func TestSubmit_EntryClockHasJumped(t *testing.T) {
	const jump = 3 * time.Second
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 1)
	f.advance(100 * time.Millisecond)
	for name, offset := range map[string]time.Duration{"behind": -jump, "ahead": jump} {
		job := f.newJob(name, fleet.Step{EstimateMillis: 2000})
		job.ArrivedMillis += offset.Milliseconds()
		f.s.Submit(job, f.now)
		o := f.s.jobs[name].occurrences[0]
		require.False(t, o.due.After(f.now), name)
		require.LessOrEqual(t, rankOf(o.steps[0], 0, f.now).class, classTight, name)
	}
}

// TestSubmit_LeaderClockJumps lets the leader's own time of day jump after a job has
// arrived: its age is that of the monotonic clock.
func TestSubmit_LeaderClockJumps(t *testing.T) {
	f := newTestFleet(t)
	now := time.Now()
	f.s.Submit(f.newJob("job", fleet.Step{EstimateMillis: 2000}), now)
	arrived := f.s.jobs["job"].arrivedAt
	// Only a time with a monotonic reading differs from itself without one in its text.
	require.NotEqual(t, arrived.Round(0).String(), arrived.String(), "the arrival has lost its monotonic reading")
}

// TestSubmit_StoredAssignmentIsForgotten reads the submission of a job with assignments
// after the takeover: its run must be kept, also if the submission is read again.
func TestSubmit_StoredAssignmentIsForgotten(t *testing.T) {
	f := twoWorkers(t)
	sub := f.newJob("j", fleet.Step{EstimateMillis: secondsToMillis(60)})
	f.s.Submit(sub, f.now)
	f.s.Place(f.now)
	records := f.applyBatches()
	view := ledger.NewView()
	for _, r := range records {
		require.NoError(t, view.Apply(fleet.Record(r)))
	}
	id := f.s.findTask(taskOf("j", 0)).worker.info.ID
	run := f.runs[id][taskOf("j", 0)]
	f.takeover(nil)
	require.NoError(t, view.Apply(ledger.SubmissionRecord(*sub)))
	for range 2 {
		f.s.SubmitStored(view.Jobs["j"], f.now)
		f.advance(200 * time.Millisecond)
	}
	require.Equal(t, 1, total(f.running("j")))
	require.Equal(t, 1, f.s.findTask(taskOf("j", 0)).attempt)
	require.Same(t, run, f.runs[id][taskOf("j", 0)], "the run was stopped and another one started")
}
