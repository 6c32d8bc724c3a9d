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
	// maxClaims bounds the claims of one submission. Each but the last was
	// released because its start was rejected.
	maxClaims = 4
	// claimTimeout bounds the wait for a claim to be read back. A claim that
	// takes longer outlives the slot lease that it is bound to.
	claimTimeout = time.Second
	// logStaleAfter is the staleness of the claims' stream beyond which the log
	// counts as unavailable.
	logStaleAfter = 2 * time.Second
	// logRetryAfter is the retry delay sent when the log is unavailable.
	logRetryAfter = 2 * time.Second
)

// submission is one caller's attempt to run an order.
type submission struct {
	d        *Dispatcher
	stream   *logstream.WatchedStream
	grant    *Grant
	key      orderKey
	orderID  string
	bodyHash string
	body     []byte
}

// runOrder runs non-idempotent work at most once. Before the only start request
// is sent, the claim is appended to the log and read back as the first of its
// key. A repeat with the same key gets the recorded outcome.
func (d *Dispatcher) runOrder(ctx context.Context, _ string, req Request, grant *Grant) Outcome {
	key, refusal := parseOrderKey(req.IdempotencyKey, d.cfg.Clock.Now())
	if refusal.Kind != "" {
		return refusal
	}
	shards := d.cfg.Orders.cfg.Shards()
	if shards == nil {
		return notRun(CodeLogUnavailable, "this entry has not loaded the order streams yet", logRetryAfter)
	}
	order := statemachine.OrderID(grant.Workspace.Team, key.text)
	s := &submission{
		d: d, stream: shards.StreamFor(order), grant: grant, key: key, orderID: order, bodyHash: bodyHash(req), body: req.Body,
	}
	return s.run(ctx)
}

// bodyHash returns a hash of what a repeat must share with the first request.
func bodyHash(req Request) string {
	h := sha256.New()
	h.Write([]byte(req.Queue + "\x00"))
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// run claims and starts the order, or awaits the outcome of an existing claim.
func (s *submission) run(ctx context.Context) Outcome {
	for claims := 0; claims < maxClaims; {
		if current, ok := s.current(); ok && current.Outcome != statemachine.OrderReleased {
			outcome, released := s.awaitOutcome(ctx)
			if !released {
				return outcome
			}
		}
		claims++
		outcome, retry := s.claimAndStart(ctx)
		if !retry {
			return outcome
		}
	}
	if current, ok := s.current(); ok && current.Outcome == "" {
		outcome, _ := s.awaitOutcome(ctx)
		return outcome
	}
	return notRun(CodeNoCapacity, "no target accepted the order", busyRetryAfter)
}

func (s *submission) current() (*statemachine.Order, bool) {
	return s.stream.State().Orders.Get(s.orderID)
}

// claimAndStart makes one claim and, if it is the first of its key, sends the
// start request. It reports true if the claim or the start was rejected, so
// that the order may be claimed again.
func (s *submission) claimAndStart(ctx context.Context) (Outcome, bool) {
	if s.stream.Staleness() > logStaleAfter {
		return notRun(CodeLogUnavailable, "this submission did not run: the log cannot be read, so no order can be claimed; the outcome of earlier submissions with this key is unknown here", logRetryAfter), false
	}
	slot, refusal := s.d.place(ctx, s.grant, "")
	if slot == nil {
		return refusal, false
	}
	s.d.cfg.Orders.starting.Store(s, s.orderID)
	defer s.d.cfg.Orders.starting.Delete(s)
	number, outcome, retry := s.claim(ctx, slot)
	if number == 0 {
		slot.Queue = ""
		s.d.cfg.Allotment.Release(s.grant.Workspace.Team, slot.Holder)
		s.d.cfg.Slots.Release(slot)
		return outcome, retry
	}
	return s.start(ctx, slot, number)
}

// claim appends the claim and returns its number once it is read back as the
// first of its key, or 0.
func (s *submission) claim(ctx context.Context, slot *placement.LeasedSlot) (int, Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := s.stream.Propose(ctx, &statemachine.Claim{
		Key: s.key.text, KeyMS: s.key.timeMS, Team: s.grant.Workspace.Team, BodyHash: s.bodyHash,
		Target: slot.Target.ID, Address: slot.Target.Address,
		Lease: slot.LeaseID, Record: slot.Record, Started: slot.Started,
	})
	if err != nil && provider.OutcomeOf(err) == provider.Refused {
		return 0, notRun(CodeLogUnavailable, "this submission did not run: the log rejected the claim; the outcome of earlier submissions with this key is unknown here: "+err.Error(), logRetryAfter), false
	}
	if err != nil {
		return 0, Outcome{Kind: Unknown, Code: CodeClaimUnknown, RetryAfter: logRetryAfter,
			Message: "the claim could not be read back, and the key may be claimed elsewhere: " + err.Error()}, false
	}
	if result.Rejection != nil && result.Rejection.Reason == statemachine.ReasonExpired {
		return 0, keyOutsideWindow(), false
	}
	current, ok := s.current()
	if result.Rejection != nil || !ok || !s.holdsClaim(current, slot) {
		return 0, notRun(CodeNoCapacity, "the order was claimed by another submission", busyRetryAfter), true
	}
	return current.Attempt, Outcome{}, false
}

// holdsClaim reports whether the open claim was made for this lease.
func (s *submission) holdsClaim(current *statemachine.Order, slot *placement.LeasedSlot) bool {
	return current.Outcome == "" && current.Holder == s.d.cfg.Incarnation && current.Lease == slot.LeaseID && current.Address == slot.Target.Address
}

// start sends the claim's only start request.
func (s *submission) start(ctx context.Context, slot *placement.LeasedSlot, number int) (Outcome, bool) {
	got := s.d.call(ctx, slot, provider.Task{
		ID: s.orderID, Attempt: number, Team: s.grant.Workspace.Team, Body: s.body,
	})
	settle := settlementOf(s.orderID, number, got)
	if settle == nil {
		s.d.cfg.Orders.starting.Delete(s)
		outcome, _ := s.awaitOutcome(ctx)
		return outcome, outcome.Kind == NotRun
	}
	if got.outcome == AttemptRefused && s.d.cfg.Orders.trySettle(ctx, s.stream, settle) {
		return Outcome{}, true
	}
	s.d.cfg.Orders.settle(s.stream, settle)
	return got.requestOutcome(slot, number), false
}
