package logstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// leaveGrace is the time for which a proposer that gives up while its record is
// under way waits for the end of that append.
const leaveGrace = 200 * time.Millisecond

// proposalState says how far a proposal has come.
type proposalState int32

const (
	proposalQueued proposalState = iota
	proposalSent
	proposalDropped
)

// proposal is one command on its way into the log.
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

// finish ends the proposal once.
func (p *proposal) finish(result statemachine.Result, err error) {
	p.once.Do(func() {
		p.result, p.err = result, err
		close(p.done)
	})
}

// isDone reports whether the proposal has ended.
func (p *proposal) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// wanted reports whether the proposer still waits.
func (p *proposal) wanted() bool {
	return !p.isDone() && p.ctx.Err() == nil
}

// left reports whether the proposer has given up on an unsent record, which is
// then left out.
func (p *proposal) left() bool {
	if p.ctx.Err() == nil {
		return false
	}
	p.refuseUnsent("in time")
	return p.isDone()
}

// markSent records that an append with the proposal goes out. It reports
// false if the proposer has given up before, so that the record is left out.
func (p *proposal) markSent() bool {
	return p.state.CompareAndSwap(int32(proposalQueued), int32(proposalSent))
}

// refuseUnsent leaves the record out of the log for good, unless it has been
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

// Propose writes the command and waits until it has been read back. The
// result tells whether the record took effect or is void. The error wraps a
// *provider.Error: Refused if the record is not in the stream and never takes
// effect, Unknown if it may, now or later. PendingOf gives what follows an
// Unknown.
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
		return p.leave("in time", s.cfg.Clock.After(leaveGrace))
	case <-s.ended:
		return p.leave("before the stream ended", nil)
	}
	return p.result, p.err
}

// leave ends the proposer's wait. A record that was not sent is refused: it
// is never sent later. One that is under way is waited for until the grace is
// over, because the log may refuse it; a nil grace is over at once.
func (p *proposal) leave(when string, grace <-chan time.Time) (statemachine.Result, error) {
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
	return statemachine.Result{}, &unresolvedError{error: err, pending: &InDoubtRecord{proposal: p}}
}
