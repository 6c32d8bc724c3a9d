package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// manifestWith returns the test manifest with other queues.
func manifestWith(version int64, queues ...fleet.Queue) *fleet.Manifest {
	m := testManifest()
	m.Version, m.Queues = version, queues
	return m
}

func queueIn(pool string, maxAttempts int) fleet.Queue {
	return fleet.Queue{Name: "desk", Pool: pool, MaxAttempts: maxAttempts, Stretch: 1.6, LatencyObjective: 600 * time.Millisecond}
}

// acceptedJob returns a job of one task that has been accepted under the manifest.
func (f *testFleet) acceptedJob(id string, m *fleet.Manifest) *fleet.Submission {
	sub := f.newJob(id, fleet.Step{EstimateMillis: 200})
	sub.AcceptUnder(m, m.QueueByName("desk"))
	return sub
}

// readBack returns the job as the ledger holds it.
func readBack(t require.TestingT, sub *fleet.Submission, records ...fleet.Record) *ledger.Job {
	v := ledger.NewView()
	for _, r := range append([]fleet.Record{ledger.SubmissionRecord(*sub)}, records...) {
		require.NoError(t, v.Apply(r))
	}
	return v.Jobs[sub.ID]
}

// TestQueue_RemovedBeforeTheTakeover guards against a new leader that fails a job early or
// cannot place it, because the manifest that it knows lacks the job's queue.
func TestQueue_RemovedBeforeTheTakeover(t *testing.T) {
	f := twoWorkers(t)
	sub := f.acceptedJob("j", manifestWith(2, queueIn(testPool, 3)))
	failedOnce := ledger.AssignmentRecord(taskOf("j", 0), ledger.Assignment{Attempt: 1, Failures: 1})
	f.s = f.newLeader(2)
	f.s.SetManifest(manifestWith(3), f.now)
	f.s.RestoreJob(readBack(t, sub, failedOnce), f.now)
	require.False(t, f.s.jobs["j"].finished, "one failed run of three ends the job")
	f.advance(150 * time.Millisecond)
	require.Equal(t, 1, total(f.running("j")))
}

// TestQueue_AddedAgainElsewhere places the tasks that wait in the pool of the newest
// manifest.
func TestQueue_AddedAgainElsewhere(t *testing.T) {
	f := twoWorkers(t)
	f.addWorker("w-books", otherPool, 8)
	f.advance(100 * time.Millisecond)
	f.s.SetManifest(manifestWith(3), f.now)
	f.s.Submit(f.acceptedJob("j", manifestWith(2, queueIn(testPool, 3))), f.now)
	f.s.SetManifest(manifestWith(4, queueIn(otherPool, 3)), f.now)
	f.advance(100 * time.Millisecond)
	require.Equal(t, map[string]int{"w-books": 1}, f.running("j"))
}

// TestQueue_ManifestIsOlderThanTheJob lets the leader read a job before the manifest under
// which an entry has accepted it.
func TestQueue_ManifestIsOlderThanTheJob(t *testing.T) {
	for name, known := range map[string]*fleet.Manifest{"without the queue": manifestWith(1), "with another pool": manifestWith(1, queueIn(otherPool, 1)), "none at all": {}} {
		t.Run(name, func(t *testing.T) {
			f := twoWorkers(t)
			f.addWorker("w-books", otherPool, 8)
			f.advance(100 * time.Millisecond)
			f.s.SetManifest(known, f.now)
			f.s.Submit(f.acceptedJob("j", manifestWith(2, queueIn(testPool, 3))), f.now)
			f.advance(100 * time.Millisecond)
			require.Equal(t, 1, total(f.running("j")))
			require.Zero(t, f.running("j")["w-books"])
		})
	}
}

// TestQueue_DefinedNowhere keeps a job whose queue neither the manifest nor the job's record
// defines: it waits for the queue and is not ended.
func TestQueue_DefinedNowhere(t *testing.T) {
	f := twoWorkers(t)
	f.s = f.newLeader(2)
	f.s.SetManifest(manifestWith(3), f.now)
	sub := f.newJob("j", fleet.Step{EstimateMillis: 200})
	f.s.RestoreJob(readBack(t, sub, ledger.AssignmentRecord(taskOf("j", 0), ledger.Assignment{Attempt: 2, Failures: 2})), f.now)
	f.advance(200 * time.Millisecond)
	require.False(t, f.s.jobs["j"].finished)
	require.Zero(t, total(f.running("j")))
	f.s.SetManifest(manifestWith(4, queueIn(testPool, 3)), f.now)
	f.advance(100 * time.Millisecond)
	require.Equal(t, 1, total(f.running("j")))
}

// TestQueue_LeadersAgree guards against a queue's definition that only the leader of the
// time remembers: a leader that has seen every manifest and one that has seen the last one
// alone use the same definition for each job.
func TestQueue_LeadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		living := New(Config{}, time.UnixMilli(0))
		newest := &fleet.Manifest{}
		var jobs []*fleet.Submission
		for version := range int64(rapid.IntRange(1, 8).Draw(t, "versions")) {
			newest = manifestWith(version + 1)
			if rapid.Bool().Draw(t, "has the queue") {
				newest.Queues = []fleet.Queue{queueIn(rapid.SampledFrom([]string{testPool, otherPool}).Draw(t, "pool"), rapid.IntRange(1, 4).Draw(t, "attempts"))}
			}
			read := rapid.Bool().Draw(t, "the leader reads it before the job")
			if read {
				living.SetManifest(newest, time.UnixMilli(0))
			}
			if q := newest.QueueByName("desk"); q != nil {
				sub := &fleet.Submission{ID: fmt.Sprint(version), Steps: []fleet.Step{{Count: 1}}}
				sub.AcceptUnder(newest, q)
				jobs = append(jobs, sub)
				living.Submit(sub, time.UnixMilli(0))
			}
			if !read {
				living.SetManifest(newest, time.UnixMilli(0))
			}
		}
		next := New(Config{}, time.UnixMilli(0))
		next.SetManifest(newest, time.UnixMilli(0))
		for _, sub := range jobs {
			next.RestoreJob(readBack(t, sub), time.UnixMilli(0))
			require.Equal(t, living.jobs[sub.ID].queue, next.jobs[sub.ID].queue, "job %s", sub.ID)
		}
	})
}

// TestQueue_AttemptsAreLowered guards against a start of a task that has failed as often as
// the newest manifest allows, and against leaders that decide differently on its job. A run
// that exists goes on.
func TestQueue_AttemptsAreLowered(t *testing.T) {
	accepted, lowered := manifestWith(1, queueIn(testPool, 4)), manifestWith(2, queueIn(testPool, 2))
	failed := ledger.Assignment{Attempt: 2, Failures: 2}
	running := ledger.Assignment{Phase: ledger.PhaseAssigned, Attempt: 3, Failures: 2, Worker: "w-1", WorkerStartedAtMillis: 1}
	for name, c := range map[string]struct {
		stored ledger.Assignment
		ends   bool
	}{"waiting": {failed, true}, "running": {running, false}} {
		t.Run(name, func(t *testing.T) {
			f := twoWorkers(t)
			stored := readBack(t, f.acceptedJob("j", accepted), ledger.AssignmentRecord(taskOf("j", 0), c.stored))
			f.s.SetManifest(accepted, f.now)
			f.s.RestoreJob(stored, f.now)
			require.False(t, f.s.jobs["j"].finished)
			f.s.SetManifest(lowered, f.now)
			require.Equal(t, c.ends, f.s.jobs["j"].finished, "the leader that has accepted more attempts")
			next := f.newLeader(2)
			next.SetManifest(lowered, f.now)
			next.RestoreJob(stored, f.now)
			require.Equal(t, c.ends, next.jobs["j"].finished, "the next leader")
		})
	}
}
