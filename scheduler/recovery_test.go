package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

func unknown() error {
	return &provider.Error{Op: "worker.start", Outcome: provider.Unknown, Code: provider.CodeTimeout}
}

func refused(code provider.Code) error {
	return &provider.Error{Op: "worker.start", Outcome: provider.Refused, Code: code}
}

// placeOne submits a job of one task and returns its start.
func (b *bench) placeOne(id string) StartRequest {
	b.s.Submit(b.job(id, fleet.Step{EstimateMillis: second(1)}), b.now)
	b.s.Place(b.now)
	batch := b.s.TakeBatch()
	require.NotEmpty(b.t, batch.Records, "the assignment is not stored")
	starts := b.s.HandleBatchPersisted(batch.Number, b.now)
	require.Len(b.t, starts, 1)
	return starts[0]
}

// TestStart_OnlyAfterItIsStored checks that no start goes out before its
// assignment is stored.
func TestStart_OnlyAfterItIsStored(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 4)
	b.pass(100 * time.Millisecond)
	b.s.Submit(b.job("j", fleet.Step{}), b.now)
	b.s.Place(b.now)
	batch := b.s.TakeBatch()
	require.NotEmpty(t, batch.Records)
	require.Empty(t, b.s.HandleBatchPersisted(batch.Number+1, b.now), "a batch that was not stored starts something")
	require.Len(t, b.s.HandleBatchPersisted(batch.Number, b.now), 1)
	require.Empty(t, b.s.HandleBatchPersisted(batch.Number, b.now), "a batch starts something twice")
}

// TestStart_WithoutAnswer keeps the task until a stop and a later look prove that
// the run is not there.
func TestStart_WithoutAnswer(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 4)
	b.addWorker("w-2", testPool, 4)
	b.pass(100 * time.Millisecond)
	start := b.placeOne("j")
	b.s.HandleStartResponse(&start.Request, start.Endpoint.WorkerID, unknown(), b.now)
	batch := b.s.TakeBatch()
	require.Len(t, batch.Stops, 1, "the run is not ruled out by a stop")
	b.look(start.Endpoint.WorkerID)
	b.s.Place(b.now)
	require.Equal(t, stopping, b.s.find(start.Request.Task).phase, "a look before the stop's answer proves nothing")
	b.s.HandleStopResponse(&batch.Stops[0], nil, b.now)
	sent := b.now
	b.now = b.now.Add(10 * time.Millisecond)
	b.s.HandleStatus(start.Endpoint.WorkerID, &fleet.WorkerStatus{ClockMillis: b.now.UnixMilli(), StartedAtMillis: 1}, sent, b.now)
	require.Equal(t, stopping, b.s.find(start.Request.Task).phase, "a look sent with the stop proves nothing")
	b.look(start.Endpoint.WorkerID)
	require.Equal(t, waiting, b.s.find(start.Request.Task).phase)
}

// TestStart_Refusals covers the refusals that say that nothing runs.
func TestStart_Refusals(t *testing.T) {
	for _, code := range []provider.Code{provider.CodeNoRoom, provider.CodeExpired, provider.CodeUnavailable, provider.CodeUnreachable, provider.CodeNoTicket} {
		b := newBench(t)
		b.addWorker("w-1", testPool, 4)
		b.pass(100 * time.Millisecond)
		start := b.placeOne("j")
		b.s.HandleStartResponse(&start.Request, start.Endpoint.WorkerID, refused(code), b.now)
		require.Equal(t, waiting, b.s.find(start.Request.Task).phase, string(code))
	}
	b := newBench(t)
	b.addWorker("w-1", testPool, 4)
	b.pass(100 * time.Millisecond)
	start := b.placeOne("j")
	b.s.HandleStartResponse(&start.Request, start.Endpoint.WorkerID, refused(provider.CodeFenced), b.now)
	require.True(t, b.s.Fenced())
}

// TestWorker_OutOfReach starts its tasks elsewhere only once no lease can hold.
func TestWorker_OutOfReach(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 4)
	b.pass(100 * time.Millisecond)
	b.s.Submit(b.job("j", fleet.Step{EstimateMillis: second(60)}), b.now)
	b.pass(300 * time.Millisecond)
	require.Equal(t, map[string]int{"w-1": 1}, b.running("j"))
	b.addWorker("w-2", testPool, 4)
	b.look("w-2")
	last := b.now
	for b.now.Before(last.Add(10 * time.Second)) {
		b.now = b.now.Add(100 * time.Millisecond)
		b.s.HandlePollFailure("w-1", unknown(), b.now)
		order, _ := b.s.PreparePoll("w-1", b.now, true)
		require.Zero(t, order.DeadlineMillis, "a look that fails extends the leases")
		b.look("w-2")
		if b.now.Sub(last) > 4*time.Second+200*time.Millisecond {
			delete(b.runs["w-1"], taskOf("j", 0)) // The worker kills it when its lease ends.
		}
		b.s.Tick(b.now)
		b.s.Place(b.now)
		b.carryOut()
	}
	require.Equal(t, map[string]int{"w-2": 1}, b.running("j"))
}

// TestWorker_NewLife starts the tasks of an ended life again at once.
func TestWorker_NewLife(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 4)
	b.pass(100 * time.Millisecond)
	b.s.Submit(b.job("j", fleet.Step{EstimateMillis: second(60)}), b.now)
	b.pass(300 * time.Millisecond)
	w := b.fleet["w-1"]
	w.StartedAtMillis++
	b.fleet["w-1"] = w
	clear(b.runs["w-1"])
	b.s.SetWorkers(b.fleet, b.now)
	b.pass(200 * time.Millisecond)
	require.Equal(t, 2, b.runs["w-1"][taskOf("j", 0)].attempt)
}

// takeover returns a new owner with the ledger that the last one left.
func (b *bench) takeover(records []ledgerRecord, subs ...*fleet.Submission) {
	view := ledger.NewView()
	for _, sub := range subs {
		require.NoError(b.t, view.Apply(ledger.SubmissionRecord(*sub)))
	}
	for _, r := range records {
		require.NoError(b.t, view.Apply(fleet.Record(r)))
	}
	b.s = b.newOwner(b.s.cfg.FencingToken + 1)
	for _, j := range view.Jobs {
		b.s.RestoreJob(j, b.now)
	}
}

// TestTakeover_AdoptsWhatRuns takes over with work under way on a worker that is
// reached and on one that is not.
func TestTakeover_AdoptsWhatRuns(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 2)
	b.addWorker("w-2", testPool, 2)
	b.pass(100 * time.Millisecond)
	sub := b.job("j", fleet.Step{Count: 4, EstimateMillis: second(60)})
	b.s.Submit(sub, b.now)
	b.s.Place(b.now)
	records := b.carryOut()
	require.Equal(t, 4, total(b.running("j")))
	b.takeover(records, sub)
	b.look("w-1")
	b.s.Place(b.now)
	b.carryOut()
	require.Equal(t, 2, b.running("j")["w-1"])
	require.Equal(t, 2, b.running("j")["w-2"], "tasks of a worker that was not looked at are started elsewhere")
	b.now = b.now.Add(8 * time.Second)
	b.s.HandlePollFailure("w-2", unknown(), b.now)
	clear(b.runs["w-2"])
	b.s.Tick(b.now)
	require.Equal(t, waiting, b.s.find(taskOf("j", 0)).phase+b.s.find(taskOf("j", 1)).phase+b.s.find(taskOf("j", 2)).phase+b.s.find(taskOf("j", 3)).phase-2*running, "two run, two wait")
}

// TestTakeover_RunsOfEndedJobsTakeRoom replays a hand-over just after a job was
// cancelled: its runs are still stopping and take room.
func TestTakeover_RunsOfEndedJobsTakeRoom(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 2)
	b.pass(100 * time.Millisecond)
	sub := b.job("gone", fleet.Step{Count: 2, EstimateMillis: second(60)})
	b.s.Submit(sub, b.now)
	b.s.Place(b.now)
	records := b.carryOut()
	result := ledgerRecord(ledger.ResultRecord("gone", ledger.Result{Outcome: ledger.OutcomeCancelled}))
	b.takeover(append(records, result), sub)
	next := b.job("next", fleet.Step{EstimateMillis: second(1)})
	b.s.Submit(next, b.now)
	b.look("w-1")
	b.s.Place(b.now)
	require.Equal(t, waiting, b.s.find(taskOf("next", 0)).phase, "room of a run that is still there is given away")
	batch := b.s.TakeBatch()
	require.Len(t, batch.Stops, 2)
}

// TestEnds_SeenOnlyOnceStored acknowledges an end only after it has been stored.
func TestEnds_SeenOnlyOnceStored(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 2)
	b.pass(100 * time.Millisecond)
	b.s.Submit(b.job("j", fleet.Step{EstimateMillis: 10}), b.now)
	b.pass(50 * time.Millisecond)
	b.now = b.now.Add(time.Second)
	b.look("w-1")
	order, _ := b.s.PreparePoll("w-1", b.now, true)
	require.Zero(t, order.RecordedThrough)
	b.carryOut()
	order, _ = b.s.PreparePoll("w-1", b.now, true)
	require.Equal(t, int64(1), order.RecordedThrough)
}

// TestBlame_TellsBadWorkersFromBadJobs quarantines a worker that fails several
// jobs, and none for a job that fails everywhere.
func TestBlame_TellsBadWorkersFromBadJobs(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 8)
	b.pass(100 * time.Millisecond)
	w := b.s.workers["w-1"]
	for range 6 {
		b.s.blame(w, "poison", b.now)
	}
	require.True(t, w.usable(b.now))
	b.s.blame(w, "other", b.now)
	require.False(t, w.usable(b.now))
	w.praise()
	b.s.blame(w, "third", b.now)
	require.True(t, w.usable(b.now.Add(maxQuarantine)) || !w.usable(b.now.Add(time.Hour)))
}

// TestWorkers_LifeThatIsOverStaysOver replays a list that still holds the worker of
// a VM that has been moved: it is not looked at again, but its next life is.
func TestWorkers_LifeThatIsOverStaysOver(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 2)
	b.s.EndIncarnation("w-1", b.now, "its VM is moved")
	b.s.SetWorkers(b.fleet, b.now)
	require.Empty(t, b.s.PollTargets(), "a life that is over is looked at")
	again := b.fleet["w-1"]
	again.StartedAtMillis++
	b.fleet["w-1"] = again
	b.s.SetWorkers(b.fleet, b.now)
	require.Len(t, b.s.PollTargets(), 1)
	b.s.EndIncarnation("w-1", b.now, "it is gone")
	b.s.SetWorkers(map[string]fleet.Worker{}, b.now)
	require.Empty(t, b.s.buried, "lives are remembered that the list has dropped")
}

// TestSubmit_CopyChangesNothing hands a job in again while its task runs.
func TestSubmit_CopyChangesNothing(t *testing.T) {
	b := newBench(t)
	b.addWorker("w-1", testPool, 2)
	b.pass(100 * time.Millisecond)
	sub := b.job("j", fleet.Step{EstimateMillis: second(60)})
	b.s.Submit(sub, b.now)
	b.pass(200 * time.Millisecond)
	b.s.Submit(sub, b.now)
	b.pass(200 * time.Millisecond)
	require.Equal(t, 1, total(b.running("j")))
	require.Equal(t, 1, b.s.find(taskOf("j", 0)).attempt, "the copy is run, too")
}
