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

// Authorize returns the grant of the request, or the outcome that rejects it.
func (d *Dispatcher) Authorize(req Request) (*Grant, Outcome) {
	if d.stopping.Load() {
		return nil, notRun(CodeStopping, "this entry is shutting down", busyRetryAfter)
	}
	return authorize(d.cfg.Control, req)
}

// JobID returns the ID of the job that the request creates. A queue with
// at-most-once work requires an idempotency key, as for an order.
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

// BodyHash returns a hash of the request's queue and body.
func BodyHash(req Request) string {
	return bodyHash(req)
}

// jobSlotPollInterval is the delay between two slot searches of a job.
const jobSlotPollInterval = 50 * time.Millisecond

// Place acquires a slot lease and a unit of the team's allotment for a job. It
// takes no slot while requests wait for one, and reports false when the context
// ends.
func (d *Dispatcher) Place(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool) {
	q := d.jobWaitQueue(pools)
	for ctx.Err() == nil {
		if slot := d.placeJob(ctx, q, admission.Request{Team: team, AvoidTarget: avoid}); slot != nil {
			return slot, true
		}
		select {
		case <-ctx.Done():
		case <-d.cfg.Clock.After(jobSlotPollInterval):
		}
	}
	return nil, false
}

// PlaceQueued is Place for a job that waits in the queue of the requests and is
// served by its team's share.
func (d *Dispatcher) PlaceQueued(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool) {
	q, now := d.jobWaitQueue(pools), d.cfg.Clock.Now()
	w, refusal := q.Enqueue(now, admission.Request{Team: team, Deadline: deadlineOf(ctx, now), AvoidTarget: avoid, IgnoreMaxWait: true})
	if refusal != nil {
		return nil, false
	}
	d.startDispatchLoop(q)
	slot, _ := d.awaitSlot(ctx, q, w)
	return slot, slot != nil
}

func (d *Dispatcher) jobWaitQueue(pools []string) *waitQueue {
	return d.waitQueues.forTemplate(&statemachine.Template{Name: "jobs on " + strings.Join(pools, ","), Pools: pools})
}

func (d *Dispatcher) placeJob(ctx context.Context, q *waitQueue, req admission.Request) *placement.LeasedSlot {
	if !q.MayBypass(req.Team) {
		return nil
	}
	return d.tryAcquireSlot(ctx, q, req)
}

// ReturnSlot returns what Place acquired, unused.
func (d *Dispatcher) ReturnSlot(team string, slot *placement.LeasedSlot) {
	slot.Queue = ""
	d.cfg.Allotment.Release(team, slot.Holder)
	d.cfg.Slots.Release(slot)
}

// RunTask sends one start request of a job and releases what Place acquired.
func (d *Dispatcher) RunTask(ctx context.Context, slot *placement.LeasedSlot, task provider.Task) (AttemptOutcome, []byte, error) {
	got := d.call(ctx, slot, task)
	return got.outcome, got.answer, got.err
}
