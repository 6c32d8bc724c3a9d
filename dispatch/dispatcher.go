package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

const (
	// busyRetryAfter is the advice to a caller refused for lack of room.
	busyRetryAfter = time.Second
)

// Slots finds and keeps slot leases.
type Slots interface {
	Acquire(ctx context.Context, pools []string, avoid string) (*placement.LeasedSlot, error)
	Release(h *placement.LeasedSlot)
	MarkDraining(h *placement.LeasedSlot)
}

// Allotment counts running tasks against the entry's part of a team's limit.
type Allotment interface {
	// Acquire takes one unit and returns the holder to name in the start.
	Acquire(team string) (holder string, ok bool)
	// Release gives the unit of the holder back.
	Release(team, holder string)
}

// Config holds what a Dispatcher works with. All members are required.
type Config struct {
	// Incarnation is the own incarnation.
	Incarnation string
	Control     Control
	Slots       Slots
	Allotment   Allotment
	Workers     provider.Workers
	InDoubt     *InDoubtSet
	Orders      *OrderResolver
	Clock       clockwork.Clock
	Ring        *timeline.Ring
	// DefaultTimeout is the patience of a caller on a queue without one.
	DefaultTimeout time.Duration
	// Running returns the number of tasks that run here for a team. Without it
	// all teams count as idle.
	Running func(team string) int
	// Preempter makes long work give way, or is nil.
	Preempter admission.Preempter
}

// Dispatcher runs requests.
type Dispatcher struct {
	cfg      Config
	sequence atomic.Uint64
	inflight atomic.Int64
	stopping atomic.Bool
	retries  *retryBudget
	lines    *lines
	slots    Slots
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Running == nil {
		cfg.Running = func(string) int { return 0 }
	}
	d := &Dispatcher{retries: newRetryBudget(), slots: cfg.Slots, lines: newLines(cfg.Running)}
	if r, ok := cfg.Slots.(reporter); ok {
		cfg.Workers = &reportingWorkers{Workers: cfg.Workers, clock: cfg.Clock, report: r}
	}
	cfg.Slots = &passingSlots{Slots: cfg.Slots, dispatcher: d}
	d.cfg = cfg
	return d
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
	outcome.RequestID = id
	d.record(outcome)
	return outcome
}

func (d *Dispatcher) run(ctx context.Context, id string, req Request) Outcome {
	grant, refusal := authorize(d.cfg.Control, req)
	if grant == nil {
		return refusal
	}
	timeout := d.timeout(req, grant.Queue)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	outcome := d.runClass(ctx, id, req, grant)
	outcome.Team = grant.Workspace.Team
	return outcome
}

// runClass runs the request in the way of its queue's class.
func (d *Dispatcher) runClass(ctx context.Context, id string, req Request, grant *Grant) Outcome {
	switch grant.Queue.Class {
	case statemachine.ClassUrgent:
		ctx = withAttempts(ctx, d.lines.of(grant.Template), grant.Workspace.Name+"."+grant.Queue.Name)
		return d.runUrgent(ctx, id, req, grant)
	case statemachine.ClassOrder:
		return d.runOrder(ctx, id, req, grant)
	default:
		return notRun(CodeWrongClass, "the queue takes jobs, not requests", 0)
	}
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

// record adds the request's end to the time line.
func (d *Dispatcher) record(outcome Outcome) {
	d.cfg.Ring.Add(timeline.Event{
		AtUS:    d.cfg.Clock.Now().UnixMicro(),
		Entry:   d.cfg.Incarnation,
		Kind:    "request_" + string(outcome.Kind),
		Offset:  d.cfg.Control.State().NextOffset,
		Team:    outcome.Team,
		VM:      outcome.VM,
		Request: outcome.RequestID,
		Detail:  string(outcome.Code),
	})
}
