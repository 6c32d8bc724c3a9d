package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// teamJob returns a job of ten tasks of one core, of the team whose limit is six cores.
func (f *testFleet) teamJob(id string, m *fleet.Manifest) *fleet.Submission {
	sub := f.newJob(id, fleet.Step{Count: 10, EstimateMillis: secondsToMillis(60)})
	sub.Team = "team"
	sub.AcceptUnder(m, m.QueueByName("desk"))
	return sub
}

// TestTeam_RemovedBeforeTheTakeover guards against a new leader that runs a team's jobs
// without the team's limit, because the manifest that it knows lacks the team.
func TestTeam_RemovedBeforeTheTakeover(t *testing.T) {
	f := twoWorkers(t)
	f.addWorker("w-3", testPool, 16)
	f.s = f.newLeader(2)
	removed := testManifest()
	removed.Version, removed.Teams = 3, nil
	f.s.SetManifest(removed, f.now)
	f.s.RestoreJob(readBack(t, f.teamJob("j", testManifest())), f.now)
	f.advance(300 * time.Millisecond)
	require.Equal(t, 6, total(f.running("j")))
}

// TestTeam_LimitChanges applies the newest manifest's limit to jobs accepted under an
// earlier one, and the job's own limit while the leader's manifest is older.
func TestTeam_LimitChanges(t *testing.T) {
	f := twoWorkers(t)
	f.addWorker("w-3", testPool, 16)
	raised := testManifest()
	raised.Version, raised.Teams = 2, map[string]fleet.Team{"team": {Name: "team", Weight: 1, Cap: fleet.Resources{MilliCPU: 8000}}}
	f.s.Submit(f.teamJob("j", raised), f.now)
	f.advance(300 * time.Millisecond)
	require.Equal(t, 8, total(f.running("j")), "the leader's manifest is older than the job")
	raised.Version, raised.Teams = 3, map[string]fleet.Team{"team": {Name: "team", Weight: 1, Cap: fleet.Resources{MilliCPU: 9000}}}
	f.s.SetManifest(raised, f.now)
	f.advance(300 * time.Millisecond)
	require.Equal(t, 9, total(f.running("j")))
}

// TestTeam_RunsOfFinishedJobsAfterTheTakeover guards against a new leader that starts a
// team's tasks beside those of its jobs which had finished at the takeover, and whose runs
// are still being stopped: the limit holds for all that runs.
func TestTeam_RunsOfFinishedJobsAfterTheTakeover(t *testing.T) {
	f := twoWorkers(t)
	f.addWorker("w-3", testPool, 16)
	f.advance(100 * time.Millisecond)
	cancelled, next := f.teamJob("j", testManifest()), f.teamJob("k", testManifest())
	f.s.Submit(cancelled, f.now)
	f.s.Place(f.now)
	records := f.applyBatches()
	require.Equal(t, 6, total(f.running("j")))
	f.s.Cancel("j", f.now)
	for _, r := range f.s.TakeBatch().Records {
		records = append(records, ledgerRecord(r)) // Stored, but no stop is sent.
	}
	f.takeover(records, cancelled, next)
	for id := range f.workers {
		f.poll(id)
	}
	f.s.Place(f.now)
	batch := f.s.TakeBatch()
	require.Len(t, batch.Stops, 6)
	require.Empty(t, f.s.HandleBatchPersisted(batch.Number, f.now), "tasks start while six cores of six are in use")
	f.s.TakeBatch()
	for i := range batch.Stops {
		f.finishRun(batch.Stops[i].Endpoint.WorkerID, batch.Stops[i].Task, fleet.RunStopped)
	}
	f.advance(200 * time.Millisecond)
	require.Equal(t, 6, total(f.running("k")))
}
