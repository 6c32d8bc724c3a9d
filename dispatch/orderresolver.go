package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// settleTimeout bounds one attempt to append an order's outcome.
	settleTimeout = 2 * time.Second
	// settleRetryDelay is the delay before the next attempt.
	settleRetryDelay = 500 * time.Millisecond
)

// OrderResolverConfig configures an OrderResolver. All fields are required.
type OrderResolverConfig struct {
	// Incarnation identifies this run of the entry.
	Incarnation string
	// Shards returns the streams of the claims, or nil until their number is
	// known.
	Shards  func() *logstream.Shards
	Workers provider.Workers
	Clock   clockwork.Clock
	// Alive reports whether the entry incarnation is known to run.
	Alive func(incarnation string) bool
}

// OrderResolver settles the claims of orders and resolves those whose outcome
// is unknown. Requests take no lock in it.
type OrderResolver struct {
	cfg    OrderResolverConfig
	ctx    context.Context
	cancel context.CancelFunc

	// starting holds the submissions that claim or start now, waiting those
	// that await an outcome. The keys are *submission.
	starting sync.Map
	waiting  sync.Map
	// settling counts the outcomes that are not yet in the log.
	settling atomic.Int64
	// observations is accessed by Run only.
	observations map[claimRef]*claimObservation
}

// NewOrderResolver returns a resolver. Call Run to resolve open claims.
func NewOrderResolver(cfg OrderResolverConfig) *OrderResolver {
	ctx, cancel := context.WithCancel(context.Background())
	return &OrderResolver{cfg: cfg, ctx: ctx, cancel: cancel, observations: make(map[claimRef]*claimObservation)}
}

// PendingSettlements returns the number of outcomes not yet in the log.
func (r *OrderResolver) PendingSettlements() int {
	return int(r.settling.Load())
}

// settle appends the outcome of a claim in the background until it is in the
// log or this entry stops. If it stops first, another entry queries the VM.
func (r *OrderResolver) settle(stream *logstream.WatchedStream, settle *statemachine.ClaimSettle) {
	r.settling.Add(1)
	go func() {
		defer r.settling.Add(-1)
		for !r.trySettle(r.ctx, stream, settle) {
			select {
			case <-r.cfg.Clock.After(settleRetryDelay):
			case <-r.ctx.Done():
				return
			}
		}
	}()
}

// trySettle appends the outcome once and reports whether the claim is settled,
// by this record or by an earlier one.
func (r *OrderResolver) trySettle(ctx context.Context, stream *logstream.WatchedStream, settle *statemachine.ClaimSettle) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err := stream.Propose(ctx, settle)
	return err == nil
}

// settlementOf returns the attempt's settlement record, or nil if in doubt.
func settlementOf(order string, number int, got attempt) *statemachine.ClaimSettle {
	out := &statemachine.ClaimSettle{Order: order, Attempt: number}
	switch got.outcome {
	case AttemptAnswered:
		return setAnswer(out, got.answer)
	case AttemptFailed, AttemptStopped:
		out.Outcome = statemachine.OrderFailed
	case AttemptRefused:
		out.Outcome = statemachine.OrderReleased
	default:
		return nil
	}
	out.Message = got.err.Error()
	return out
}

// setAnswer adds the answer to the record, unless it is too large.
func setAnswer(settle *statemachine.ClaimSettle, answer []byte) *statemachine.ClaimSettle {
	settle.Outcome = statemachine.OrderAnswered
	settle.AnswerBytes = len(answer)
	if len(answer) <= statemachine.MaxRecordedAnswerBytes {
		settle.Answer = answer
	}
	return settle
}
