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
	// settleTimeout bounds one try to write an order's outcome.
	settleTimeout = 2 * time.Second
	// settleRetry is the pause before the next try.
	settleRetry = 500 * time.Millisecond
)

// OrderResolverConfig holds what Orders works with. All members are required.
type OrderResolverConfig struct {
	// Incarnation is the own incarnation.
	Incarnation string
	// Shards returns the streams of the claims, or nil while their number is
	// not known.
	Shards  func() *logstream.Shards
	Workers provider.Workers
	Clock   clockwork.Clock
	// Alive reports whether the entry incarnation is known to run.
	Alive func(incarnation string) bool
}

// OrderResolver keeps the claims of orders and resolves those whose end is open. The
// path of a request takes no lock in it.
type OrderResolver struct {
	cfg OrderResolverConfig
	ctx context.Context
	end context.CancelFunc

	// starting holds the submissions that claim or start now, waiting those
	// that wait for an outcome. The keys are *submission.
	starting sync.Map
	waiting  sync.Map
	// settling counts the outcomes that are not in the log yet.
	settling atomic.Int64
	// sightings are used by Run alone.
	sightings map[claimRef]*sighting
}

// NewOrderResolver returns orders that Run must resolve.
func NewOrderResolver(cfg OrderResolverConfig) *OrderResolver {
	ctx, end := context.WithCancel(context.Background())
	return &OrderResolver{cfg: cfg, ctx: ctx, end: end, sightings: make(map[claimRef]*sighting)}
}

// PendingSettlements returns the number of outcomes that are not in the log yet.
func (o *OrderResolver) PendingSettlements() int {
	return int(o.settling.Load())
}

// settle writes the outcome of a claim in the background until it is in the
// log or this entry ends. If it ends first, another entry asks the VM.
func (o *OrderResolver) settle(stream *logstream.Watched, settle *statemachine.ClaimSettle) {
	o.settling.Add(1)
	go func() {
		defer o.settling.Add(-1)
		for !o.trySettle(o.ctx, stream, settle) {
			select {
			case <-o.cfg.Clock.After(settleRetry):
			case <-o.ctx.Done():
				return
			}
		}
	}()
}

// trySettle writes the outcome once and reports whether the claim is settled
// now, by this record or by an earlier one.
func (o *OrderResolver) trySettle(ctx context.Context, stream *logstream.Watched, settle *statemachine.ClaimSettle) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err := stream.Propose(ctx, settle)
	return err == nil
}

// settleOf returns the record of an attempt's end, or nil if it is unknown.
func settleOf(order string, number int, got attempt) *statemachine.ClaimSettle {
	out := &statemachine.ClaimSettle{Order: order, Attempt: number}
	switch got.end {
	case AttemptAnswered:
		return answered(out, got.answer)
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

// answered completes the record with an answer, unless that is too large.
func answered(settle *statemachine.ClaimSettle, answer []byte) *statemachine.ClaimSettle {
	settle.Outcome = statemachine.OrderAnswered
	settle.AnswerBytes = len(answer)
	if len(answer) <= statemachine.MaxRecordedAnswerBytes {
		settle.Answer = answer
	}
	return settle
}
