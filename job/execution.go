package job

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// execution is one job that the entry is executing.
type execution struct {
	runner *Runner
	stream *logstream.WatchedStream
	id     string
	team   string
	// atMostOnce is set for a job that runs at most once.
	atMostOnce bool
	// startedAtMicros is when the start was sent, in Unix microseconds, or 0.
	startedAtMicros atomic.Int64
	// queuedAt is since when the job is known to wait for a start.
	queuedAt time.Time
	// aged is set once the job waits for a slot in the admission queue.
	aged atomic.Bool
	// stopRequested makes the start stop with a checkpoint, as a cancellation
	// does.
	stopRequested atomic.Bool
}

// ownedJob returns the job if it is unfinished and owned by this entry.
func (e *execution) ownedJob() (*statemachine.Job, bool) {
	job, ok := e.stream.State().Jobs.Get(e.id)
	if !ok || job.State.Finished() || job.Owner != e.runner.cfg.Incarnation {
		return nil, false
	}
	return job, true
}

// execute advances the job by one start. It returns when the job has finished,
// is owned by another entry, or finds no slot, so that other jobs get their
// turn.
func (e *execution) execute(ctx context.Context) {
	job, ok := e.ownedJob()
	if !ok {
		return
	}
	if job.State == statemachine.JobRunning {
		e.resolve(ctx, job)
		return
	}
	if e.runner.stopping.Load() {
		return
	}
	slot, ok := e.place(ctx, job)
	if !ok {
		return
	}
	claimed, ok := e.claimStart(ctx, job, slot)
	if !ok {
		e.runner.cfg.Starter.ReturnSlot(job.Team, slot)
		return
	}
	e.runAttempt(ctx, claimed, slot)
}

// place acquires a slot: one that no request waits for or, for an aged job, one
// from the admission queue.
func (e *execution) place(ctx context.Context, job *statemachine.Job) (*placement.LeasedSlot, bool) {
	place, searchTimeout := e.runner.cfg.Starter.Place, placeTimeout
	if e.runner.tryMarkAged(e) {
		place, searchTimeout = e.runner.cfg.Starter.PlaceQueued, queuedPlaceTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	defer context.AfterFunc(e.runner.placementCtx, cancel)()
	avoid := ""
	if n := len(job.FailedOn); n > 0 {
		avoid = job.FailedOn[job.Failures%n]
	}
	return place(ctx, job.Team, job.Pools, avoid)
}

// claimStart records the start and returns the job with it applied.
func (e *execution) claimStart(ctx context.Context, job *statemachine.Job, leased *placement.LeasedSlot) (*statemachine.Job, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	slot := statemachine.SlotLease{
		Target: leased.Target.ID, Address: leased.Target.Address, Lease: leased.LeaseID, Record: leased.Record, Started: leased.Started,
	}
	result, err := e.stream.Propose(ctx, &statemachine.JobStart{ID: e.id, Epoch: job.Epoch, Slot: slot})
	if err != nil || result.Rejection != nil {
		return nil, false
	}
	claimed, ok := e.ownedJob()
	if !ok || claimed.State != statemachine.JobRunning || claimed.Slot != slot || claimed.Epoch != job.Epoch {
		return nil, false
	}
	return claimed, true
}

// runAttempt sends the start and records its outcome.
func (e *execution) runAttempt(ctx context.Context, job *statemachine.Job, slot *placement.LeasedSlot) {
	e.startedAtMicros.Store(e.runner.cfg.Clock.Now().UnixMicro())
	watchCtx, stopWatch := context.WithCancel(ctx)
	go e.watchStopRequest(watchCtx, job)
	outcome, answer, err := e.runner.cfg.Starter.RunTask(ctx, slot, provider.Task{
		ID: job.ID, Attempt: job.Attempt, Team: job.Team, Checkpoint: job.Checkpoint, Body: job.Body,
	})
	stopWatch()
	finish := newAttemptFinish(job, outcome, answer, err)
	if finish == nil {
		e.resolve(ctx, job)
		return
	}
	e.setVerdict(job, finish)
	e.recordFinish(ctx, finish)
}

// newAttemptFinish returns the record of a start's outcome, or nil if it is in
// doubt.
func newAttemptFinish(job *statemachine.Job, outcome dispatch.AttemptOutcome, answer []byte, err error) *statemachine.JobAttemptFinish {
	finish := &statemachine.JobAttemptFinish{ID: job.ID, Epoch: job.Epoch, Attempt: job.Attempt}
	if err != nil {
		finish.Message = err.Error()
	}
	switch outcome {
	case dispatch.AttemptAnswered:
		return withAnswer(finish, answer)
	case dispatch.AttemptFailed:
		finish.Outcome = statemachine.JobAttemptFailed
	case dispatch.AttemptRefused:
		finish.Outcome = statemachine.JobAttemptReleased
	default:
		return nil
	}
	return finish
}

// withAnswer completes the record with the answer, or with a failure if the
// answer is too large to retain.
func withAnswer(finish *statemachine.JobAttemptFinish, answer []byte) *statemachine.JobAttemptFinish {
	if len(answer) > MaxAnswerBytes {
		finish.Outcome, finish.Message = statemachine.JobAttemptFailed, "the answer is too large to keep"
		finish.Verdict = statemachine.JobVerdictAnswerTooLarge
		return finish
	}
	finish.Outcome, finish.Answer = statemachine.JobAttemptAnswered, answer
	return finish
}

// recordFinish appends the outcome of a start until it is in the log or the
// context ends. In the latter case the next owner queries the VM.
func (e *execution) recordFinish(ctx context.Context, finish *statemachine.JobAttemptFinish) {
	for ctx.Err() == nil {
		proposeCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := e.stream.Propose(proposeCtx, finish)
		cancel()
		if err == nil {
			return
		}
		e.sleep(ctx, retryDelay)
	}
}

// watchStopRequest stops the start, with a checkpoint, once the job is
// cancelled or preempted.
func (e *execution) watchStopRequest(ctx context.Context, job *statemachine.Job) {
	for ctx.Err() == nil {
		if e.shouldStop() {
			_ = e.runner.cfg.Workers.StopTask(ctx, job.Slot.Address, job.ID, true)
		}
		e.sleep(ctx, retryDelay)
	}
}

func (e *execution) shouldStop() bool {
	if e.stopRequested.Load() {
		return true
	}
	job, ok := e.ownedJob()
	return ok && job.CancelRequested
}

func (e *execution) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-e.runner.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}
