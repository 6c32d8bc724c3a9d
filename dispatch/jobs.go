package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Authorize returns what the request may use, or the outcome that refuses it.
func (d *Dispatcher) Authorize(req Request) (*Grant, Outcome) {
	if d.stopping.Load() {
		return nil, notRun(CodeStopping, "this entry is stopping", busyRetryAfter)
	}
	return authorize(d.cfg.Control, req)
}

// JobID returns the ID of the job that the request makes. A queue whose work
// runs at most once needs an idempotency key, as an order does.
func (d *Dispatcher) JobID(req Request, grant *Grant, fresh string) (string, Outcome) {
	if req.IdempotencyKey == "" && !grant.Queue.RunsAtMostOnce() {
		return fresh, Outcome{}
	}
	key, refusal := parseOrderKey(req.IdempotencyKey, d.cfg.Clock.Now())
	if refusal.Kind != "" {
		return "", refusal
	}
	return "job-" + statemachine.OrderID(grant.Workspace.Team, key.text), Outcome{}
}

// BodyHash covers the queue and the body of a request.
func BodyHash(req Request) string {
	return bodyHash(req)
}

// jobSlotPoll is the pause between two searches of a job for a slot.
const jobSlotPoll = 50 * time.Millisecond

// Place takes a slot lease and a unit of the team's allotment for a job. It
// takes no slot while requests wait for one, and reports false at the end of
// the context.
func (d *Dispatcher) Place(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool) {
	l := d.jobLine(pools)
	for ctx.Err() == nil {
		if held := d.placeJob(ctx, l, admission.Request{Team: team, AvoidTarget: avoid}); held != nil {
			return held, true
		}
		select {
		case <-ctx.Done():
		case <-d.cfg.Clock.After(jobSlotPoll):
		}
	}
	return nil, false
}

// PlaceQueued is Place for a job that waits in line with the requests, its team
// being served by its share.
func (d *Dispatcher) PlaceQueued(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool) {
	l, now := d.jobLine(pools), d.cfg.Clock.Now()
	w, refusal := l.Enqueue(now, admission.Request{Team: team, Deadline: deadlineOf(ctx, now), AvoidTarget: avoid, IgnoreMaxWait: true})
	if refusal != nil {
		return nil, false
	}
	d.startPump(l)
	held, _ := d.await(ctx, l, w)
	return held, held != nil
}

func (d *Dispatcher) jobLine(pools []string) *line {
	return d.lines.of(&statemachine.Template{Name: "jobs on " + strings.Join(pools, ","), Pools: pools})
}

func (d *Dispatcher) placeJob(ctx context.Context, l *line, req admission.Request) *placement.LeasedSlot {
	if !l.MayBypass(req.Team) {
		return nil
	}
	return d.takeNow(ctx, l, req)
}

// ReturnSlot returns what Place took, unused.
func (d *Dispatcher) ReturnSlot(team string, held *placement.LeasedSlot) {
	held.Queue = ""
	d.cfg.Allotment.Release(team, held.Holder)
	d.cfg.Slots.Release(held)
}

// RunTask sends one start of a job and gives back what Place took.
func (d *Dispatcher) RunTask(ctx context.Context, held *placement.LeasedSlot, task provider.Task) (AttemptOutcome, []byte, error) {
	got := d.call(ctx, held, task)
	return got.end, got.answer, got.err
}
