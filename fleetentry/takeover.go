package fleetentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

// resignTimeout bounds the resignation after a takeover that failed.
const resignTimeout = 500 * time.Millisecond

// workersResult is the platform's list of workers, or the error of its read.
type workersResult struct {
	list fleet.Records
	err  error
}

// takeOver fences earlier leaders and builds the state from the ledger.
func (l *Leader) takeOver(ctx context.Context) error {
	termCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	offset, err := l.journal.Open(ctx, ledger.LeaderRecord(l.status(time.Now(), false)))
	if err != nil {
		return err
	}
	// Other entries must see heartbeats while the ledger is read.
	l.spawn(termCtx, l.journal.Run)
	l.spawn(termCtx, l.sendHeartbeats)
	results := make(chan workersResult, 1)
	l.spawn(ctx, func(ctx context.Context) {
		results <- l.readWorkers(ctx)
	})
	if err := l.readLedgerUpTo(ctx, offset); err != nil {
		l.resignUnready(termCtx)
		return err
	}
	l.config.FencingToken, l.config.FencingTokens = l.fencingToken, tokensPerTerm
	l.config.LeaseDuration = workerLeaseDuration
	now := time.Now()
	if !l.previousResigned {
		l.config.PreviousLeaderOperationWindow = l.vmOperationLease
	}
	l.config.PreviousLeaderWindow = leaderLeaseDuration
	sched := scheduler.New(l.config, now)
	if m := l.operator.Manifest(); m != nil {
		sched.SetManifest(m, now)
	}
	result := <-results
	if result.err != nil {
		l.resignUnready(termCtx)
		return result.err
	}
	if l.previousStoredVMOrders {
		sched.RestoreVMOrders(l.follower.VMOrders())
	}
	l.workerList = newWorkerList(l.decoder, l.log, l.metrics)
	l.workerList.apply(result.list)
	sched.SetWorkers(l.workerList.workers, now)
	sched.SetEvacuations(l.operator.Evacuations(), now)
	l.follower.Read(func(v *ledger.View) {
		for _, j := range v.JobsByArrival() {
			sched.RestoreJob(j, now)
		}
	})
	l.mu.Lock()
	l.sched = sched
	l.mu.Unlock()
	return nil
}

// resignUnready lets another entry claim leadership at once: it may be able to read what
// this one could not.
func (l *Leader) resignUnready(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	l.unready = true
	status := l.status(time.Now(), true)
	status.TakeoverFailed = true
	l.storeResignation(ctx, status)
}

// readLedgerUpTo reads until the state holds the ledger up to the offset, and what it
// needs of the entries' streams.
func (l *Leader) readLedgerUpTo(ctx context.Context, offset int64) error {
	for ctx.Err() == nil {
		err := l.follower.CatchUpLedger(ctx)
		caughtUp := false
		l.follower.Read(func(v *ledger.View) { caughtUp = v.LeaderOffset >= offset })
		if err == nil && caughtUp {
			return l.readAssignedSubmissions(ctx)
		}
		sleep(ctx, planDelay)
	}
	return ctx.Err()
}

// readAssignedSubmissions reads until the submission of every job with a stored
// assignment is known: without that job, its runs could be neither counted nor kept, and
// would start again. Other jobs may be read later, so that a stream that cannot be read
// delays no takeover that does not need it.
func (l *Leader) readAssignedSubmissions(ctx context.Context) error {
	missing := l.assignedWithoutSubmission()
	if missing == "" {
		return nil
	}
	l.log.Warn("takeover waits for the submission of a job with assignments", "token", l.fencingToken, "request", missing)
	for {
		err := l.follower.CatchUp(ctx)
		missing = l.assignedWithoutSubmission()
		switch {
		case missing == "":
			return nil
		case err == nil:
			l.log.Error("no stream has the submission of a job with assignments", "token", l.fencingToken, "request", missing)
			return nil
		case ctx.Err() != nil:
			return errors.Wrapf(err, "the submission of %s cannot be read", missing)
		}
		sleep(ctx, readRetryDelay)
	}
}

func (l *Leader) assignedWithoutSubmission() (job string) {
	l.follower.Read(func(v *ledger.View) { job = v.AssignedWithoutSubmission() })
	return job
}

// readWorkers reads the platform's list of workers, again if a response is lost, until
// the context ends.
func (l *Leader) readWorkers(ctx context.Context) workersResult {
	for {
		list, err := l.store.WorkerRecords(ctx)
		if err == nil || ctx.Err() != nil {
			return workersResult{list: list, err: err}
		}
		l.log.Info("reading the list of workers failed", "error", err)
		sleep(ctx, planDelay)
	}
}

// createStreams creates the streams of entries without records, so that reads can
// wait for their first record.
func (l *Leader) createStreams(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	for _, name := range l.follower.EmptyJobStreams() {
		if _, _, err := l.store.Append(ctx, name, []fleet.Record{ledger.NoopRecord()}, fleet.AppendOptions{}); err != nil {
			l.log.Info("creating a stream failed", "stream", name, "error", err)
		}
	}
}

// applyMissed applies what reached the ledger between the takeover and SetListener.
func (l *Leader) applyMissed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.follower.Read(func(v *ledger.View) {
		for _, j := range v.Jobs {
			if j.Submission != nil && j.Result.Outcome == ledger.OutcomeNone {
				l.sched.SubmitStored(j, now)
				if j.Cancelled {
					l.sched.Cancel(j.Submission.ID, now)
				}
			}
		}
	})
	if m := l.operator.Manifest(); m != nil {
		l.sched.SetManifest(m, now)
	}
	l.sched.SetEvacuations(l.operator.Evacuations(), now)
	l.flush(now)
	l.wakePlanner()
}
