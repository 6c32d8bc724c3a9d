package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
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
