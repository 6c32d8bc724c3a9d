package job

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

var (
	// ErrNotAccepted means that the record is not in the log and never will be.
	ErrNotAccepted = errors.New("the log accepts no records at the moment")
	// ErrOutcomeUnknown means that the record may be in the log, now or later.
	ErrOutcomeUnknown = errors.New("timed out waiting to read the record back from the log")
	// ErrNotFound means that there is no such job.
	ErrNotFound = errors.New("job not found")
	// ErrBodyMismatch means that the job ID was accepted with a different body.
	ErrBodyMismatch = errors.New("the job was accepted with a different body")
	// ErrFinished means that the job has already finished.
	ErrFinished = errors.New("the job has already finished")
)

// Accept appends the job to the log. It returns nil only once the job has been
// read back from the log, by this call or an earlier one.
func (r *Runner) Accept(ctx context.Context, accept *statemachine.JobAccept) error {
	stream, err := r.stream(accept.ID)
	if err != nil {
		return err
	}
	result, err := r.propose(ctx, stream, accept.Team, accept)
	if err != nil {
		return err
	}
	if result.Rejection == nil {
		return nil
	}
	if result.Rejection.Reason != statemachine.ReasonExists {
		return errors.Mark(result.Rejection, ErrNotAccepted)
	}
	job, ok := stream.State().Jobs.Get(accept.ID)
	if ok && job.BodyHash != accept.BodyHash {
		return ErrBodyMismatch
	}
	return nil
}

// Get returns the job. It waits until the context ends for a job that another
// entry has just accepted. While the log is unavailable it returns the last
// known state of the job.
func (r *Runner) Get(ctx context.Context, id string) (*statemachine.Job, error) {
	shards := r.cfg.Shards()
	if shards == nil {
		return nil, ErrNotAccepted
	}
	stream := shards.StreamFor(id)
	for {
		changed := stream.Changed()
		if job, ok := stream.State().Jobs.Get(id); ok {
			return job, nil
		}
		if stream.Staleness() > maxStreamStaleness {
			return nil, ErrNotAccepted
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ErrNotFound
		}
	}
}

// Cancel ends a queued job, and requests that a running one stop.
func (r *Runner) Cancel(ctx context.Context, team, id string) error {
	stream, err := r.stream(id)
	if err != nil {
		return err
	}
	result, err := r.propose(ctx, stream, team, &statemachine.JobCancel{ID: id, Team: team})
	switch {
	case err != nil:
		return err
	case result.Rejection == nil:
		return nil
	case result.Rejection.Reason == statemachine.ReasonStep:
		return ErrFinished
	default:
		return ErrNotFound
	}
}

// stream returns the stream of the job, or ErrNotAccepted while the log is
// unavailable.
func (r *Runner) stream(id string) (*logstream.WatchedStream, error) {
	shards := r.cfg.Shards()
	if shards == nil {
		return nil, ErrNotAccepted
	}
	stream := shards.StreamFor(id)
	if stream.Staleness() > maxStreamStaleness {
		return nil, ErrNotAccepted
	}
	return stream, nil
}

// propose appends one record for a client, with a bounded number in flight per
// team.
func (r *Runner) propose(ctx context.Context, stream *logstream.WatchedStream, team string, command statemachine.Command) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	release, ok := r.limiter.acquire(ctx, team)
	if !ok {
		return statemachine.Result{}, ErrNotAccepted
	}
	defer release()
	result, err := stream.Propose(ctx, command)
	if err == nil {
		return result, nil
	}
	if provider.OutcomeOf(err) == provider.Refused {
		return result, errors.Mark(err, ErrNotAccepted)
	}
	return result, errors.Mark(err, ErrOutcomeUnknown)
}
