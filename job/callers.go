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
	ErrNotAccepted = errors.New("the log takes no records now")
	// ErrOutcomeUnknown means that the record may be in the log, now or later.
	ErrOutcomeUnknown = errors.New("the record was not read back in time")
	// ErrNotFound means that there is no such job.
	ErrNotFound = errors.New("there is no such job")
	// ErrBodyMismatch means that the job's ID stands for another body.
	ErrBodyMismatch = errors.New("the job was accepted with another body")
	// ErrFinished means that the job has ended.
	ErrFinished = errors.New("the job has ended")
)

// Accept puts the job into the log. It returns without an error only once the
// job is there and has been read back, by this call or an earlier one.
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

// Get returns the job. A job that was accepted elsewhere just now is waited
// for until the context ends. While the log is down the job is given as it was
// last known.
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
		if stream.Staleness() > staleAfter {
			return nil, ErrNotAccepted
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ErrNotFound
		}
	}
}

// Cancel ends a job that waits, and asks for the end of one that runs.
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

// stream returns the stream of the job, unless the log is down.
func (r *Runner) stream(id string) (*logstream.WatchedStream, error) {
	shards := r.cfg.Shards()
	if shards == nil {
		return nil, ErrNotAccepted
	}
	stream := shards.StreamFor(id)
	if stream.Staleness() > staleAfter {
		return nil, ErrNotAccepted
	}
	return stream, nil
}

// propose writes one record for a caller, a bounded number at once per team.
func (r *Runner) propose(ctx context.Context, stream *logstream.WatchedStream, team string, c statemachine.Command) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	leave, ok := r.gates.enter(ctx, team)
	if !ok {
		return statemachine.Result{}, ErrNotAccepted
	}
	defer leave()
	result, err := stream.Propose(ctx, c)
	if err == nil {
		return result, nil
	}
	if provider.OutcomeOf(err) == provider.Refused {
		return result, errors.Mark(err, ErrNotAccepted)
	}
	return result, errors.Mark(err, ErrOutcomeUnknown)
}
