package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// unsafeOrder is the common part of the unsafe variants.
type unsafeOrder struct {
	*submission
	p *process
}

func newUnsafeOrder(p *process, req Request) *unsafeOrder {
	key, _ := parseOrderKey(req.IdempotencyKey, p.cfg.Clock.Now())
	order := statemachine.OrderID(testTeam, key.text)
	grant, _ := authorize(p.cfg.Control, req)
	return &unsafeOrder{p: p, submission: &submission{
		d: p.Dispatcher, stream: p.shards.StreamFor(order), grant: grant, key: key, orderID: order, bodyHash: bodyHash(req), body: req.Body,
	}}
}

func (n *unsafeOrder) run(start func(ctx context.Context) Outcome) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	if current, ok := n.current(); ok && current.Outcome != "" {
		return n.recordedOutcome(ctx, current)
	}
	return start(ctx)
}

// send starts the order without checking the claims.
func (n *unsafeOrder) send(ctx context.Context) Outcome {
	slot, refusal := n.d.place(ctx, n.grant, "")
	if slot == nil {
		return refusal
	}
	task := provider.Task{ID: n.orderID, Attempt: 1, Team: testTeam, Body: n.body}
	got := n.d.call(ctx, slot, task)
	return got.requestOutcome(slot, 1)
}

func (n *unsafeOrder) write(ctx context.Context, outcome Outcome) {
	_, _ = n.stream.Propose(ctx, &statemachine.Claim{Key: n.key.text, KeyMS: n.key.timeMS, Team: testTeam, BodyHash: n.bodyHash, Target: outcome.VM, Address: outcome.VM})
	if outcome.Kind == Answered {
		settle := &statemachine.ClaimSettle{Order: n.orderID, Attempt: 1}
		_, _ = n.stream.Propose(ctx, setAnswer(settle, outcome.Answer))
	}
}

// claimAfterStart appends the claim once the order has run.
func claimAfterStart(p *process, req Request) Outcome {
	n := newUnsafeOrder(p, req)
	return n.run(func(ctx context.Context) Outcome {
		outcome := n.send(ctx)
		n.write(ctx, outcome)
		return outcome
	})
}

// startBeforeReadBack appends the claim and starts without reading it back.
func startBeforeReadBack(p *process, req Request) Outcome {
	n := newUnsafeOrder(p, req)
	return n.run(func(ctx context.Context) Outcome {
		go n.write(ctx, Outcome{})
		return n.send(ctx)
	})
}

// startWithoutClaim starts without appending a claim.
func startWithoutClaim(p *process, req Request) Outcome {
	n := newUnsafeOrder(p, req)
	return n.run(n.send)
}

// TestOrder_UnsafeVariantsRunTwice checks that the fault table finds two starts
// in each unsafe variant, in rows that orders with claims pass.
func TestOrder_UnsafeVariantsRunTwice(t *testing.T) {
	variants := map[string]submitter{"claim after the start": claimAfterStart, "start before the read-back": startBeforeReadBack, "no claim": startWithoutClaim}
	for name, submit := range variants {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for _, c := range orderFaultCases() {
				synctest.Test(t, func(t *testing.T) {
					w := newOrderFixture(bubbleContext(t), t)
					if runOrderFaultCase(t, w, c, submit).starts > 1 {
						broken++
					}
				})
			}
			t.Logf("%d of %d rows with two starts", broken, len(orderFaultCases()))
			require.Positive(t, broken)
		})
	}
}
