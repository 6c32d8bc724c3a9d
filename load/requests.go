package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// callMargin is how long a caller waits for the refusal after its patience.
const callMargin = 2 * time.Second

// request is one urgent request or order.
type request struct {
	team  *team
	class Class
	queue string
	// key is the idempotency key of an order, or "".
	key  string
	body []byte
	work time.Duration
}

// sendRequest returns what sends a team's next request. An interrupted run
// waits for the answers to those under way.
func (r *runner) sendRequest(ctx context.Context, t *team) func(*rand.Rand, int64) {
	ctx = context.WithoutCancel(ctx)
	return func(rng *rand.Rand, number int64) {
		req := &request{team: t, class: ClassRequest, queue: t.urgent}
		if t.order != "" && rng.Float64() < r.cfg.Orders {
			req.class, req.queue = ClassOrder, t.order
			req.key = uuid.Must(uuid.NewV7()).String()
		}
		req.work = runTime(rng, r.cfg.Work).Round(time.Millisecond)
		req.body = bodyOf(req.queue, number, req.work)
		first, second := r.entry(rng), r.entry(rng)
		repeat := req.class == ClassOrder && rng.Float64() < r.cfg.Repeats
		r.calls.Go(func() { r.submit(ctx, req, first) })
		if repeat {
			r.calls.Go(func() { r.repeat(ctx, req, second) })
		}
	}
}

func bodyOf(queue string, number int64, work time.Duration) []byte {
	return fmt.Appendf(nil, `{"queue":%q,"number":%d,"work_ms":%d}`, queue, number, work.Milliseconds())
}

// submit sends one request and counts its end.
func (r *runner) submit(ctx context.Context, req *request, entry string) {
	sent := time.Now()
	req.team.sent(sent.Sub(r.start), req.work)
	r.classes[req.class].begin()
	outcome, wrong := r.call(ctx, req, entry)
	took := time.Since(sent)
	req.team.ended(outcome, time.Since(r.start), took, req.work, wrong)
	r.classes[req.class].end(outcome, took, outcome == answered)
}

// repeat sends an order again. Its end counts for the promises alone.
func (r *runner) repeat(ctx context.Context, req *request, entry string) {
	if _, wrong := r.call(ctx, req, entry); wrong {
		req.team.countWrong()
	}
}

// call sends the request through the entry. Wrong tells that its answer is
// not its own.
func (r *runner) call(ctx context.Context, req *request, entry string) (outcome string, wrong bool) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout+callMargin)
	defer cancel()
	reply, err := api.NewClient(entry, req.team.key, r.cfg.HTTP).Submit(ctx, req.queue, req.body, r.cfg.Timeout, req.key)
	outcome = outcomeOf(err)
	r.fates.told(req.task(reply, err), req.class == ClassOrder, outcome)
	return outcome, err == nil && !belongs(req.body, reply.Body)
}

// task returns the ID of the request's task, or "" if it got none.
func (req *request) task(reply api.Reply, err error) string {
	if req.key != "" {
		return statemachine.OrderID(req.team.name, req.key)
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.Request
	}
	return reply.Request
}

// outcomeOf returns the outcome of a submission by its error. Without an
// answer it is not known whether the work ran.
func outcomeOf(err error) string {
	if err == nil {
		return answered
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.Outcome
	}
	return unknown
}

// belongs reports whether the answer is whole and is that of the request.
func belongs(body, answer []byte) bool {
	var read standin.TaskAnswer
	if err := json.Unmarshal(answer, &read); err != nil {
		return false
	}
	return read.Digest == standin.Digest(body)
}
