package fleetentry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

// workersRead is the platform's list of workers, or why it could not be read.
type workersRead struct {
	list fleet.Records
	err  error
}

// takeOver fences earlier owners and builds the state from the ledger.
func (o *Leader) takeOver(ctx context.Context) error {
	term := ctx
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	offset, err := o.journal.Open(ctx, ledger.LeaderRecord(o.self(time.Now(), false)))
	if err != nil {
		return err
	}
	// The others must hear of the owner while it reads the ledger.
	o.spawn(term, o.journal.Run)
	o.spawn(term, o.heartbeat)
	listed := make(chan workersRead, 1)
	o.spawn(ctx, func(ctx context.Context) {
		list, err := o.store.WorkerRecords(ctx)
		listed <- workersRead{list: list, err: err}
	})
	for {
		if err := o.follower.CatchUp(ctx); err != nil && ctx.Err() != nil {
			return err
		}
		reached := false
		o.follower.Read(func(v *ledger.View) { reached = v.LeaderOffset >= offset })
		if reached {
			break
		}
		sleep(ctx, planPause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	o.config.FencingToken = o.token
	o.config.LeaseDuration = leaseFor
	now := time.Now()
	if !o.graceful {
		o.config.PreviousLeaderOperationWindow = o.orderLease
	}
	o.config.PreviousLeaderLease = authority + leaseFor
	sched := scheduler.New(o.config, now)
	if m := o.operator.Manifest(); m != nil {
		sched.SetManifest(m)
	}
	read := <-listed
	if read.err != nil {
		return read.err
	}
	o.listed = newWorkerList(o.decoder, o.log)
	o.listed.take(read.list)
	sched.SetWorkers(o.listed.workers, now)
	o.follower.Read(func(v *ledger.View) {
		for _, j := range v.Jobs {
			sched.RestoreJob(j, now)
		}
	})
	o.mu.Lock()
	o.sched = sched
	o.mu.Unlock()
	return nil
}

// openStreams makes the streams of entries that nobody has written to yet, so that
// reads can wait for their first record.
func (o *Leader) openStreams(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for _, name := range o.follower.EmptyJobStreams() {
		if _, _, err := o.store.Append(ctx, name, []fleet.Record{ledger.NoopRecord()}, fleet.AppendOptions{}); err != nil {
			o.log.Info("a stream could not be opened", "stream", name, "error", err)
		}
	}
}

// catchUp takes in what reached the ledger between the takeover and Listen.
func (o *Leader) catchUp() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.follower.Read(func(v *ledger.View) {
		for _, j := range v.Jobs {
			if j.Submission != nil && j.Result.Outcome == ledger.OutcomeNone {
				o.sched.Submit(j.Submission, now)
				if j.Cancelled {
					o.sched.Cancel(j.Submission.ID, now)
				}
			}
		}
	})
	if m := o.operator.Manifest(); m != nil {
		o.sched.SetManifest(m)
	}
	o.flush(now)
	o.nudge()
}
