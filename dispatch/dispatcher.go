package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/platform"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

const (
	// slotPoll is the pause between two searches for a slot.
	slotPoll = 5 * time.Millisecond
	// maxAttempts bounds the starts of one idempotent request.
	maxAttempts = 3
	// busyRetryAfter is the advice to a caller refused for lack of room.
	busyRetryAfter = time.Second
)

// Slots finds and keeps slot leases.
type Slots interface {
	Acquire(ctx context.Context, pools []string, avoid string) (*placement.Held, error)
	Release(h *placement.Held)
	MarkLeaving(h *placement.Held)
}

// Allotment counts running tasks against the entry's part of a team's limit.
type Allotment interface {
	Acquire(team string) bool
	Release(team string)
}

// Config holds what a Dispatcher works with. All members are required.
type Config struct {
	// Incarnation is the own incarnation.
	Incarnation string
	Control     Control
	Slots       Slots
	Allotment   Allotment
	Workers     platform.Workers
	Limbo       *Limbo
	Clock       clockwork.Clock
	Ring        *timeline.Ring
	// DefaultTimeout is the patience of a caller on a queue without one.
	DefaultTimeout time.Duration
}

// Dispatcher runs requests.
type Dispatcher struct {
	cfg      Config
	sequence atomic.Uint64
	inflight atomic.Int64
	stopping atomic.Bool
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg}
}

// Inflight returns the number of requests that run.
func (d *Dispatcher) Inflight() int {
	return int(d.inflight.Load())
}

// Stop refuses new requests from now on. Requests that run go on.
func (d *Dispatcher) Stop() {
	d.stopping.Store(true)
}

// Do runs the request and returns its outcome within the caller's patience.
func (d *Dispatcher) Do(ctx context.Context, req Request) Outcome {
	d.inflight.Add(1)
	defer d.inflight.Add(-1)
	if d.stopping.Load() {
		return notRun(CodeStopping, "this entry is stopping", busyRetryAfter)
	}
	id := d.cfg.Incarnation + "-" + strconv.FormatUint(d.sequence.Add(1), 36)
	outcome := d.run(ctx, id, req)
	outcome.Request = id
	d.record(outcome)
	return outcome
}

func (d *Dispatcher) run(ctx context.Context, id string, req Request) Outcome {
	grant, refusal := authorize(d.cfg.Control, req)
	if grant == nil {
		return refusal
	}
	if grant.Queue.Class != statemachine.ClassUrgent {
		return notRun(CodeNotImplemented, "queues of class "+string(grant.Queue.Class)+" take no work yet", 0)
	}
	timeout := d.timeout(req, grant.Queue)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	outcome := d.attemptAll(ctx, id, req, grant)
	outcome.Team = grant.Workspace.Team
	return outcome
}

func (d *Dispatcher) timeout(req Request, queue statemachine.Queue) time.Duration {
	if req.Timeout > 0 {
		return req.Timeout
	}
	if queue.TimeoutMS > 0 {
		return time.Duration(queue.TimeoutMS) * time.Millisecond
	}
	return d.cfg.DefaultTimeout
}

// attemptAll starts the request, again after a failure that allows it, until
// it has an outcome.
func (d *Dispatcher) attemptAll(ctx context.Context, id string, req Request, grant *Grant) Outcome {
	worst := Outcome{}
	avoid := ""
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		task := platform.Task{ID: id, Attempt: attempt, Team: grant.Workspace.Team, Holder: d.cfg.Incarnation, Body: req.Body}
		held, refusal := d.place(ctx, grant, avoid)
		if held == nil {
			return later(worst, refusal)
		}
		outcome, began := d.call(ctx, held, task)
		if outcome.Kind == Answered || outcome.Kind == Failed {
			return outcome
		}
		if began {
			worst = outcome
		}
		avoid = held.Target.ID
	}
	return later(worst, notRun(CodeNoCapacity, "no target took the request", busyRetryAfter))
}

// later returns the refusal, unless an earlier attempt may have begun.
func later(worst, refusal Outcome) Outcome {
	if worst.Kind != "" {
		return worst
	}
	return refusal
}

// place takes a slot and then a unit of the team's allotment, in this order:
// a lease that was taken before the check has lapsed by the time at which a
// holder that was paused after the check sends the start.
func (d *Dispatcher) place(ctx context.Context, grant *Grant, avoid string) (*placement.Held, Outcome) {
	for {
		held, err := d.cfg.Slots.Acquire(ctx, grant.Template.Pools, avoid)
		if err == nil {
			if d.cfg.Allotment.Acquire(grant.Workspace.Team) {
				return held, Outcome{}
			}
			d.cfg.Slots.Release(held)
		}
		if !d.wait(ctx) {
			if err == nil {
				return nil, notRun(CodeTeamLimit, "team "+grant.Workspace.Team+" is at its upper limit", busyRetryAfter)
			}
			return nil, notRun(CodeNoCapacity, "no target has a free slot", busyRetryAfter)
		}
	}
}

// wait pauses before the next search and reports whether there is time for it.
func (d *Dispatcher) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.cfg.Clock.After(slotPoll):
		return true
	}
}

// call sends one start and classifies its end. began tells whether the target
// may have begun.
func (d *Dispatcher) call(ctx context.Context, held *placement.Held, task platform.Task) (outcome Outcome, began bool) {
	task.Lease = held.Lease
	answer, err := d.cfg.Workers.RunTask(ctx, held.Target.Address, task)
	if err == nil {
		d.cfg.Allotment.Release(task.Team)
		d.cfg.Slots.Release(held)
		return Outcome{Kind: Answered, Answer: answer.Body, VM: held.Target.ID, Attempts: task.Attempt}, true
	}
	switch platform.OutcomeOf(err) {
	case platform.Refused:
		d.cfg.Allotment.Release(task.Team)
		if platform.CodeOf(err) == platform.CodeDraining {
			d.cfg.Slots.MarkLeaving(held)
		}
		return notRun(CodeNoCapacity, err.Error(), busyRetryAfter), false
	case platform.Failed:
		d.cfg.Allotment.Release(task.Team)
		d.cfg.Slots.Release(held)
		return Outcome{Kind: Failed, Code: CodeTaskFailed, Message: err.Error(), VM: held.Target.ID, Attempts: task.Attempt}, true
	default:
		d.cfg.Limbo.Add(task, held.Target.Address)
		return Outcome{Kind: Unknown, Code: CodeReplyLost, Message: err.Error(), VM: held.Target.ID, Attempts: task.Attempt}, true
	}
}

// record adds the request's end to the time line.
func (d *Dispatcher) record(outcome Outcome) {
	d.cfg.Ring.Add(timeline.Event{
		AtUS:    d.cfg.Clock.Now().UnixMicro(),
		Entry:   d.cfg.Incarnation,
		Kind:    "request_" + string(outcome.Kind),
		Offset:  d.cfg.Control.State().Next,
		Team:    outcome.Team,
		VM:      outcome.VM,
		Request: outcome.Request,
		Detail:  string(outcome.Code),
	})
}
