package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// maxClaims bounds the claims that one submission makes. Each but the last
	// was released, because its start was refused.
	maxClaims = 4
	// claimTimeout bounds the wait for a claim to be read back. A claim that
	// takes longer outlives the slot lease that it is bound to.
	claimTimeout = time.Second
	// logStaleAfter is the age of the claims' stream beyond which the log counts
	// as down.
	logStaleAfter = 2 * time.Second
	// logRetryAfter is the advice to a caller refused for want of the log.
	logRetryAfter = 2 * time.Second
)

// submission is one caller's try to run an order.
type submission struct {
	d      *Dispatcher
	stream *logstream.Watched
	grant  *Grant
	key    orderKey
	order  string
	hash   string
	body   []byte
}

// runOrder runs non-idempotent work at most once. The claim is in the log, and
// read back as the first of its key, before the start is sent; then there is
// one start. A repeat of the same key gets the recorded outcome.
func (d *Dispatcher) runOrder(ctx context.Context, _ string, req Request, grant *Grant) Outcome {
	key, refusal := parseOrderKey(req.IdempotencyKey, d.cfg.Clock.Now())
	if refusal.Kind != "" {
		return refusal
	}
	shards := d.cfg.Orders.cfg.Shards()
	if shards == nil {
		return notRun(CodeLogUnavailable, "this entry does not know the streams of the orders yet", logRetryAfter)
	}
	order := statemachine.OrderID(grant.Workspace.Team, key.text)
	s := &submission{
		d: d, stream: shards.For(order), grant: grant, key: key, order: order, hash: bodyHash(req), body: req.Body,
	}
	return s.run(ctx)
}

// bodyHash covers what a repeat must have in common with the first.
func bodyHash(req Request) string {
	h := sha256.New()
	h.Write([]byte(req.Queue + "\x00"))
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// run claims and starts the order, or follows the claim that stands.
func (s *submission) run(ctx context.Context) Outcome {
	for claims := 0; claims < maxClaims; {
		if current, ok := s.current(); ok && current.Outcome != statemachine.OrderReleased {
			outcome, released := s.follow(ctx)
			if !released {
				return outcome
			}
		}
		claims++
		outcome, again := s.claimAndStart(ctx)
		if !again {
			return outcome
		}
	}
	if current, ok := s.current(); ok && current.Outcome == "" {
		outcome, _ := s.follow(ctx)
		return outcome
	}
	return notRun(CodeNoCapacity, "no target took the order", busyRetryAfter)
}

func (s *submission) current() (*statemachine.Order, bool) {
	return s.stream.State().Orders.Get(s.order)
}

// claimAndStart makes one claim and, if it is the first of its key, the one
// start under it. It reports true if the claim or the start was refused, so
// that the order may be claimed again.
func (s *submission) claimAndStart(ctx context.Context) (Outcome, bool) {
	if s.stream.Age() > logStaleAfter {
		return notRun(CodeLogUnavailable, "this submission did not run: the log cannot be read, so no order can be claimed; what an earlier submission of the key did is not known here", logRetryAfter), false
	}
	held, refusal := s.d.place(ctx, s.grant, "")
	if held == nil {
		return refusal, false
	}
	s.d.cfg.Orders.starting.Store(s, s.order)
	defer s.d.cfg.Orders.starting.Delete(s)
	number, outcome, again := s.claim(ctx, held)
	if number == 0 {
		held.Queue = ""
		s.d.cfg.Allotment.Release(s.grant.Workspace.Team, held.Holder)
		s.d.cfg.Slots.Release(held)
		return outcome, again
	}
	return s.start(ctx, held, number)
}

// claim writes the claim and returns its number once it stands as the first
// of its key, or 0.
func (s *submission) claim(ctx context.Context, held *placement.LeasedSlot) (int, Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := s.stream.Propose(ctx, &statemachine.Claim{
		Key: s.key.text, KeyMS: s.key.ms, Team: s.grant.Workspace.Team, BodyHash: s.hash,
		Target: held.Target.ID, Address: held.Target.Address,
		Lease: held.LeaseID, Record: held.Record, Started: held.Started,
	})
	if err != nil && provider.OutcomeOf(err) == provider.Refused {
		return 0, notRun(CodeLogUnavailable, "this submission did not run: the log took no claim; what an earlier submission of the key did is not known here: "+err.Error(), logRetryAfter), false
	}
	if err != nil {
		return 0, Outcome{Kind: Unknown, Code: CodeClaimUnknown, RetryAfter: logRetryAfter,
			Message: "the claim was not read back, and the key may be claimed elsewhere: " + err.Error()}, false
	}
	if result.Rejection != nil && result.Rejection.Reason == statemachine.ReasonExpired {
		return 0, keyOutsideWindow(), false
	}
	current, ok := s.current()
	if result.Rejection != nil || !ok || !s.owns(current, held) {
		return 0, notRun(CodeNoCapacity, "the order was claimed by another submission", busyRetryAfter), true
	}
	return current.Attempt, Outcome{}, false
}

// owns reports whether the open claim is the one that was made for the lease.
func (s *submission) owns(current *statemachine.Order, held *placement.LeasedSlot) bool {
	return current.Outcome == "" && current.Holder == s.d.cfg.Incarnation && current.Lease == held.LeaseID && current.Address == held.Target.Address
}

// start sends the one start of the claim.
func (s *submission) start(ctx context.Context, held *placement.LeasedSlot, number int) (Outcome, bool) {
	got := s.d.call(ctx, held, provider.Task{
		ID: s.order, Attempt: number, Team: s.grant.Workspace.Team, Body: s.body,
	})
	settle := settleOf(s.order, number, got)
	if settle == nil {
		s.d.cfg.Orders.starting.Delete(s)
		outcome, _ := s.follow(ctx)
		return outcome, outcome.Kind == NotRun
	}
	if got.end == AttemptRefused && s.d.cfg.Orders.trySettle(ctx, s.stream, settle) {
		return Outcome{}, true
	}
	s.d.cfg.Orders.settle(s.stream, settle)
	return got.outcome(held, number), false
}
