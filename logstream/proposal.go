package logstream

import (
	"context"
	"sync"

	"github.com/anvilcourse/anvilcourse/platform"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// proposal is one command on its way into the log.
type proposal struct {
	ctx     context.Context
	command statemachine.Command
	seq     uint64
	once    sync.Once
	done    chan struct{}
	result  statemachine.Result
	err     error

	mu   sync.Mutex
	sent bool
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

// markSent records that an append with the proposal goes out. It reports
// false if the proposer has given up before, so that the record is left out.
func (p *proposal) markSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sent && p.ctx.Err() != nil {
		return false
	}
	p.sent = true
	return true
}

// abandon ends the proposal for a proposer that waits no longer. An unsent
// record is refused: it is never sent later.
func (p *proposal) abandon() {
	p.mu.Lock()
	sent := p.sent
	p.mu.Unlock()
	if sent {
		p.finish(statemachine.Result{}, proposeError(platform.Unknown, platform.CodeTimeout, "the record was sent and not read back in time"))
		return
	}
	p.finish(statemachine.Result{}, proposeError(platform.Refused, platform.CodeTimeout, "the record was not sent in time"))
}

func proposeError(outcome platform.Outcome, code platform.Code, message string) error {
	return &platform.Error{Op: "log.propose", Outcome: outcome, Code: code, Message: message}
}

// Propose writes the command and waits until it has been read back. The
// result tells whether the record took effect or is void. The error is a
// *platform.Error: Refused if the record is not in the stream and never will
// be, Unknown if it may be, now or later.
func (s *Stream) Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error) {
	p := newProposal(ctx, command)
	select {
	case s.queue <- p:
	default:
		return statemachine.Result{}, proposeError(platform.Refused, platform.CodeUnavailable, "too many records wait for the log")
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		p.abandon()
		<-p.done
	}
	return p.result, p.err
}
