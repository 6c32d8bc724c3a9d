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
		if t.order != "" && rng.Float64() < r.cfg.OrderFraction {
			req.class, req.queue = ClassOrder, t.order
			req.key = uuid.Must(uuid.NewV7()).String()
		}
		req.work = runTime(rng, r.cfg.MeanRunTime).Round(time.Millisecond)
		req.body = bodyOf(req.queue, number, req.work)
		first, second := r.entry(rng), r.entry(rng)
		repeat := req.class == ClassOrder && rng.Float64() < r.cfg.RepeatFraction
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
	end := r.call(ctx, req, entry)
	req.team.ended(end)
	r.classes[req.class].end(end.outcome, end.took, end.outcome == answered)
}

// repeat sends an order again. Its end counts for the promises alone.
func (r *runner) repeat(ctx context.Context, req *request, entry string) {
	if end := r.call(ctx, req, entry); end.wrong {
		req.team.countWrong()
	}
}

// call sends the request through the entry and returns its end.
func (r *runner) call(ctx context.Context, req *request, entry string) ending {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout+callMargin)
	defer cancel()
	reply, err := api.NewClient(entry, req.team.key, r.cfg.HTTP).Submit(ctx, req.queue, req.body, r.cfg.Timeout, req.key)
	out := ending{outcome: outcomeOf(err), took: time.Since(sent)}
	r.fates.told(req.task(reply, err), req.class == ClassOrder, out.outcome)
	if err != nil {
		return out
	}
	answer, whole := answerOf(req.body, reply.Body)
	out.wrong = !whole
	out.started = time.UnixMicro(answer.StartedUS).Sub(r.start.Round(0))
	out.held = time.Duration(answer.EndedUS-answer.StartedUS) * time.Microsecond
	return out
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

// answerOf returns the worker's answer, and whether it is whole and is that of
// the request.
func answerOf(body, answer []byte) (standin.TaskAnswer, bool) {
	var read standin.TaskAnswer
	if err := json.Unmarshal(answer, &read); err != nil {
		return read, false
	}
	return read, read.Digest == standin.Digest(body)
}
