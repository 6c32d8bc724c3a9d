package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// naiveOrder is what the naive forms of an order have in common.
type naiveOrder struct {
	*submission
	p *process
}

func newNaive(p *process, req Request) *naiveOrder {
	key, _ := parseOrderKey(req.IdempotencyKey, p.cfg.Clock.Now())
	order := statemachine.OrderID(testTeam, key.text)
	grant, _ := authorize(p.cfg.Control, req)
	return &naiveOrder{p: p, submission: &submission{
		d: p.Dispatcher, stream: p.shards.For(order), grant: grant, key: key, order: order, hash: bodyHash(req), body: req.Body,
	}}
}

func (n *naiveOrder) run(start func(ctx context.Context) Outcome) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), processPatience)
	defer cancel()
	if current, ok := n.current(); ok && current.Outcome != "" {
		return n.recorded(ctx, current)
	}
	return start(ctx)
}

// send starts the order without a look at the claims.
func (n *naiveOrder) send(ctx context.Context) Outcome {
	held, refusal := n.d.place(ctx, n.grant, "")
	if held == nil {
		return refusal
	}
	task := provider.Task{ID: n.order, Attempt: 1, Team: testTeam, Body: n.body}
	got := n.d.call(ctx, held, task)
	return got.outcome(held, 1)
}

func (n *naiveOrder) write(ctx context.Context, outcome Outcome) {
	_, _ = n.stream.Propose(ctx, &statemachine.Claim{Key: n.key.text, KeyMS: n.key.ms, Team: testTeam, BodyHash: n.hash, Target: outcome.VM, Address: outcome.VM})
	if outcome.Kind == Answered {
		settle := &statemachine.ClaimSettle{Order: n.order, Attempt: 1}
		_, _ = n.stream.Propose(ctx, answered(settle, outcome.Answer))
	}
}

// claimAfterStart writes the claim once the order has run.
func claimAfterStart(p *process, req Request) Outcome {
	n := newNaive(p, req)
	return n.run(func(ctx context.Context) Outcome {
		outcome := n.send(ctx)
		n.write(ctx, outcome)
		return outcome
	})
}

// startUnread writes the claim and starts without reading it back.
func startUnread(p *process, req Request) Outcome {
	n := newNaive(p, req)
	return n.run(func(ctx context.Context) Outcome {
		go n.write(ctx, Outcome{})
		return n.send(ctx)
	})
}

// noClaim starts at once.
func noClaim(p *process, req Request) Outcome {
	n := newNaive(p, req)
	return n.run(n.send)
}

// TestOrder_NaiveFormsBreak shows that the table of faults finds two starts in
// the naive forms, each in the same rows in which the claims hold.
func TestOrder_NaiveFormsBreak(t *testing.T) {
	forms := map[string]submitter{"claim after the start": claimAfterStart, "start before the read-back": startUnread, "no claim": noClaim}
	for name, submit := range forms {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for _, c := range orderCases() {
				synctest.Test(t, func(t *testing.T) {
					w := newOrderWorld(bubbleContext(t), t)
					if runOrderCase(t, w, c, submit).starts > 1 {
						broken++
					}
				})
			}
			t.Logf("%d of %d rows with two starts", broken, len(orderCases()))
			require.Positive(t, broken)
		})
	}
}
