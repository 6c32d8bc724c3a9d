package logstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// cancelGrace is the time for which a proposal cancelled during its append
// waits for that append to finish.
const cancelGrace = 200 * time.Millisecond

// proposalState is the progress of a proposal.
type proposalState int32

const (
	proposalQueued proposalState = iota
	proposalSent
	proposalDropped
)

// proposal is one command to be appended to the log.
type proposal struct {
	ctx     context.Context
	command statemachine.Command
	seq     uint64
	state   atomic.Int32

	once   sync.Once
	done   chan struct{}
	result statemachine.Result
	err    error
}

func newProposal(ctx context.Context, command statemachine.Command) *proposal {
	return &proposal{ctx: ctx, command: command, done: make(chan struct{})}
}

// finish sets the proposal's result once.
func (p *proposal) finish(result statemachine.Result, err error) {
	p.once.Do(func() {
		p.result, p.err = result, err
		close(p.done)
	})
}

// isDone reports whether the proposal has finished.
func (p *proposal) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// isAwaited reports whether the proposer still waits for the result.
func (p *proposal) isAwaited() bool {
	return !p.isDone() && p.ctx.Err() == nil
}

// dropIfCancelled refuses an unsent record if its proposer has cancelled, and
// reports whether the proposal is finished.
func (p *proposal) dropIfCancelled() bool {
	if p.ctx.Err() == nil {
		return false
	}
	p.refuseUnsent("in time")
	return p.isDone()
}

// markSent records that the proposal is being appended. It returns false if the
// proposal was cancelled first; the record is then omitted.
func (p *proposal) markSent() bool {
	return p.state.CompareAndSwap(int32(proposalQueued), int32(proposalSent))
}

// refuseUnsent refuses the record, which is then never sent, unless it has been
// sent.
func (p *proposal) refuseUnsent(when string) {
	if p.state.CompareAndSwap(int32(proposalQueued), int32(proposalDropped)) {
		p.finish(statemachine.Result{}, proposeError(provider.Refused, provider.CodeTimeout, "the record was not sent "+when))
		return
	}
	if p.state.Load() == int32(proposalDropped) {
		<-p.done
	}
}

func proposeError(outcome provider.Outcome, code provider.Code, message string) error {
	return &provider.Error{Op: "log.propose", Outcome: outcome, Code: code, Message: message}
}

// Propose writes the command and waits until it has been read back. The result
// tells whether the record took effect or was rejected. The error wraps a
// *provider.Error: Refused if the record is not in the stream and never takes
// effect, Unknown if it may, now or later. InDoubtRecordOf returns the record
// of an Unknown error.
func (s *Stream) Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error) {
	if s.FatalError() != nil {
		return statemachine.Result{}, proposeError(provider.Refused, provider.CodeUnavailable, s.FatalError().Error())
	}
	p := newProposal(ctx, command)
	select {
	case s.queue <- p:
	default:
		return statemachine.Result{}, proposeError(provider.Refused, provider.CodeUnavailable, "too many records wait for the log")
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return p.abandon("in time", s.cfg.Clock.After(cancelGrace))
	case <-s.stopped:
		return p.abandon("before the stream ended", nil)
	}
	return p.result, p.err
}

// abandon ends the proposer's wait. A record that was not sent is refused and
// never sent later. A record being appended is waited for until the grace
// period ends, because the log may refuse it; a nil grace means no wait.
func (p *proposal) abandon(when string, grace <-chan time.Time) (statemachine.Result, error) {
	p.refuseUnsent(when)
	if !p.isDone() && grace != nil {
		select {
		case <-p.done:
		case <-grace:
		}
	}
	if p.isDone() {
		return p.result, p.err
	}
	err := proposeError(provider.Unknown, provider.CodeTimeout, "the record was sent and not read back "+when)
	return statemachine.Result{}, &inDoubtError{error: err, record: &InDoubtRecord{proposal: p}}
}
