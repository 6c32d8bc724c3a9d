package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	answered = "answered"
	unknown  = "unknown"
)

// runner is one run of a load.
type runner struct {
	cfg     Config
	entries []string
	teams   []*team
	start   time.Time
	sent    atomic.Int64
	calls   sync.WaitGroup
}

// Run drives the load through every entry that the operator's entry knows, and
// waits for the last answer. It grants a key per workspace and withdraws it at
// the end. An error means that the load could not be driven.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := &runner{cfg: cfg}
	status, err := cfg.Operator.Status(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the status")
	}
	for _, e := range status.Entries {
		if e.Reachable || e.Incarnation == status.Incarnation {
			r.entries = append(r.entries, "http://"+e.Callers)
		}
	}
	withdraw, err := r.grant(ctx)
	defer withdraw()
	if err != nil {
		return nil, err
	}
	r.drive(ctx)
	r.calls.Wait()
	return r.report(), nil
}

// grant makes the teams with a key each. The result withdraws the keys.
func (r *runner) grant(ctx context.Context) (withdraw func(), err error) {
	var hashes []string
	withdraw = func() {
		for _, hash := range hashes {
			_, _ = r.cfg.Operator.WithdrawKey(context.WithoutCancel(ctx), hash)
		}
	}
	for _, w := range r.cfg.Catalog.Workspaces {
		key, err := r.cfg.Operator.GrantKey(ctx, api.KeyGrantRequest{Workspace: w.Name, Label: "load"})
		if err != nil {
			return withdraw, errors.Wrapf(err, "grant a key for %s", w.Name)
		}
		hashes = append(hashes, key.Hash)
		t := newTeam(w.Team, float64(w.SharePermille), float64(w.Limit))
		t.key = key.Key
		t.urgent = queueOf(r.cfg.Catalog.Template, w.Name, statemachine.ClassUrgent)
		t.order = queueOf(r.cfg.Catalog.Template, w.Name, statemachine.ClassOrder)
		r.teams = append(r.teams, t)
	}
	return withdraw, nil
}

// queueOf returns the full name of the workspace's first queue of the class,
// or "".
func queueOf(t statemachine.Template, workspace string, class statemachine.Class) string {
	for _, q := range t.Queues {
		if q.Class == class {
			return workspace + "." + q.Name
		}
	}
	return ""
}

// drive sends the requests of all teams until the time or the number is over.
func (r *runner) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	r.start = time.Now()
	weights := 0.0
	for _, t := range r.teams {
		weights += t.weight
	}
	var wg sync.WaitGroup
	for i, t := range r.teams {
		wg.Go(func() { r.driveTeam(ctx, i, t, r.cfg.Rate*t.weight/weights) })
	}
	wg.Wait()
}

// driveTeam sends one team's requests, whether or not earlier ones have ended.
func (r *runner) driveTeam(ctx context.Context, index int, t *team, mean float64) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(index)))
	next := time.Duration(0)
	for {
		rate := mean
		if !r.cfg.Steady {
			rate *= factor(index, next)
		}
		next += gap(rng, rate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.start.Add(next))):
		}
		if r.sent.Add(1) > int64(r.cfg.MaxRequests) {
			return
		}
		queue, key := t.urgent, ""
		if t.order != "" && rng.Float64() < r.cfg.Orders {
			queue, key = t.order, uuid.Must(uuid.NewV7()).String()
		}
		entry := r.entries[rng.IntN(len(r.entries))]
		work := runTime(rng, r.cfg.Work)
		number := r.sent.Load()
		r.calls.Go(func() { r.submit(context.WithoutCancel(ctx), t, entry, queue, key, work, number) })
	}
}

// submit sends one request and counts its end.
func (r *runner) submit(ctx context.Context, t *team, entry, queue, key string, work time.Duration, number int64) {
	work = work.Round(time.Millisecond)
	body := fmt.Appendf(nil, `{"queue":%q,"number":%d,"work_ms":%d}`, queue, number, work.Milliseconds())
	sent := time.Now()
	t.sent(sent.Sub(r.start), work)
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout+callMargin)
	defer cancel()
	reply, err := api.NewClient(entry, t.key, r.cfg.HTTP).Submit(ctx, queue, body, r.cfg.Timeout, key)
	took := time.Since(sent)
	answer, whole := answerOf(body, reply)
	t.ended(ending{
		outcome: outcomeOf(err), took: took, wrong: err == nil && !whole,
		started: time.UnixMicro(answer.StartedUS).Sub(r.start.Round(0)),
		held:    time.Duration(answer.EndedUS-answer.StartedUS) * time.Microsecond,
	})
}

// callMargin is how long a caller waits for the refusal after its patience.
const callMargin = 2 * time.Second

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
func answerOf(body []byte, reply api.Reply) (standin.TaskAnswer, bool) {
	var answer standin.TaskAnswer
	if err := json.Unmarshal(reply.Body, &answer); err != nil {
		return answer, false
	}
	return answer, answer.Digest == standin.Digest(body)
}
