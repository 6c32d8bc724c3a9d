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

// run is one job that the entry carries out.
type run struct {
	r      *Runner
	stream *logstream.WatchedStream
	id     string
	team   string
	// once is set for a job that runs at most once.
	once bool
	// started is when the start was sent, in Unix microseconds, or 0.
	started atomic.Int64
	// queuedAt is since when the job is known to wait for a start.
	queuedAt time.Time
	// aged is set once the job seeks a slot in line with the requests.
	aged atomic.Bool
	// stop asks for a checkpoint of the start, as a cancellation does.
	stop atomic.Bool
}

// mine returns the job if it is open and owned by this entry.
func (a *run) mine() (*statemachine.Job, bool) {
	job, ok := a.stream.State().Jobs.Get(a.id)
	if !ok || job.State.Finished() || job.Owner != a.r.cfg.Incarnation {
		return nil, false
	}
	return job, true
}

// carryOut takes the job one start further. It returns when the job has
// ended, belongs to another entry, or finds no slot, so that others get a
// turn.
func (a *run) carryOut(ctx context.Context) {
	job, ok := a.mine()
	if !ok {
		return
	}
	if job.State == statemachine.JobRunning {
		a.resolve(ctx, job)
		return
	}
	if a.r.stopping.Load() {
		return
	}
	held, ok := a.place(ctx, job)
	if !ok {
		return
	}
	claimed, ok := a.claim(ctx, job, held)
	if !ok {
		a.r.cfg.Starter.ReturnSlot(job.Team, held)
		return
	}
	a.start(ctx, claimed, held)
}

// place seeks a slot: one that no request waits for, or in line with the
// requests once the job has waited long.
func (a *run) place(ctx context.Context, job *statemachine.Job) (*placement.LeasedSlot, bool) {
	search, length := a.r.cfg.Starter.Place, placeFor
	if a.r.mayAge(a) {
		search, length = a.r.cfg.Starter.PlaceQueued, inLineFor
	}
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	defer context.AfterFunc(a.r.placing, cancel)()
	avoid := ""
	if n := len(job.FailedOn); n > 0 {
		avoid = job.FailedOn[job.Failures%n]
	}
	return search(ctx, job.Team, job.Pools, avoid)
}

// claim records the start and returns the job as it stands with it.
func (a *run) claim(ctx context.Context, job *statemachine.Job, held *placement.LeasedSlot) (*statemachine.Job, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	on := statemachine.SlotLease{
		Target: held.Target.ID, Address: held.Target.Address, Lease: held.LeaseID, Record: held.Record, Started: held.Started,
	}
	result, err := a.stream.Propose(ctx, &statemachine.JobStart{ID: a.id, Epoch: job.Epoch, Slot: on})
	if err != nil || result.Rejection != nil {
		return nil, false
	}
	claimed, ok := a.mine()
	if !ok || claimed.State != statemachine.JobRunning || claimed.Slot != on || claimed.Epoch != job.Epoch {
		return nil, false
	}
	return claimed, true
}

// start sends the start and records its end.
func (a *run) start(ctx context.Context, job *statemachine.Job, held *placement.LeasedSlot) {
	a.started.Store(a.r.cfg.Clock.Now().UnixMicro())
	watchCtx, done := context.WithCancel(ctx)
	go a.watchStop(watchCtx, job)
	end, answer, err := a.r.cfg.Starter.RunTask(ctx, held, provider.Task{
		ID: job.ID, Attempt: job.Attempt, Team: job.Team, Checkpoint: job.Checkpoint, Body: job.Body,
	})
	done()
	record := endOf(job, end, answer, err)
	if record == nil {
		a.resolve(ctx, job)
		return
	}
	a.addVerdict(job, record)
	a.record(ctx, record)
}

// endOf returns the record of a start's end, or nil if it is not known.
func endOf(job *statemachine.Job, end dispatch.AttemptOutcome, answer []byte, err error) *statemachine.JobAttemptFinish {
	out := &statemachine.JobAttemptFinish{ID: job.ID, Epoch: job.Epoch, Attempt: job.Attempt}
	if err != nil {
		out.Message = err.Error()
	}
	switch end {
	case dispatch.AttemptAnswered:
		return withAnswer(out, answer)
	case dispatch.AttemptFailed:
		out.Outcome = statemachine.JobAttemptFailed
	case dispatch.AttemptRefused:
		out.Outcome = statemachine.JobAttemptReleased
	default:
		return nil
	}
	return out
}

// withAnswer completes the record with an answer that is small enough to keep.
func withAnswer(out *statemachine.JobAttemptFinish, answer []byte) *statemachine.JobAttemptFinish {
	if len(answer) > MaxAnswerBytes {
		out.Outcome, out.Message = statemachine.JobAttemptFailed, "the answer is too large to keep"
		out.Verdict = statemachine.JobVerdictAnswerTooLarge
		return out
	}
	out.Outcome, out.Answer = statemachine.JobAttemptAnswered, answer
	return out
}

// record writes the end of a start until it is in the log or the context
// ends. Then another owner asks the VM.
func (a *run) record(ctx context.Context, end *statemachine.JobAttemptFinish) {
	for ctx.Err() == nil {
		proposeCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := a.stream.Propose(proposeCtx, end)
		cancel()
		if err == nil {
			return
		}
		a.pause(ctx, retryDelay)
	}
}

// watchStop stops the start, with a checkpoint, once the job is cancelled or
// has to give way.
func (a *run) watchStop(ctx context.Context, job *statemachine.Job) {
	for ctx.Err() == nil {
		if a.stopWanted() {
			_ = a.r.cfg.Workers.StopTask(ctx, job.Slot.Address, job.ID, true)
		}
		a.pause(ctx, retryDelay)
	}
}

func (a *run) stopWanted() bool {
	if a.stop.Load() {
		return true
	}
	job, ok := a.mine()
	return ok && job.CancelRequested
}

func (a *run) pause(ctx context.Context, d time.Duration) {
	select {
	case <-a.r.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}
