package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/maintenance"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// interval is the time between two rounds.
	interval = 100 * time.Millisecond
	// decideShare is the inverse of the part of a core that deciding may use: in
	// a large fleet the rounds are further apart.
	decideShare = 50
	// callTimeout bounds one call to a VM.
	callTimeout = time.Second
	// proposeTimeout bounds the write of one record.
	proposeTimeout = 2 * time.Second
)

// Executor plans and carries out maintenance while it holds the lease.
type Executor struct {
	cfg    Config
	memory map[string]*memory
	latest atomic.Pointer[maintenance.Plan]
	// spent is the time that the latest decision took.
	spent time.Duration
}

// New returns an executor. Run starts it.
func New(cfg Config) *Executor {
	return &Executor{cfg: cfg, memory: make(map[string]*memory)}
}

// Run takes rounds until the context ends.
func (e *Executor) Run(ctx context.Context) {
	for {
		e.spent = 0
		e.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-e.cfg.Clock.After(max(interval, decideShare*e.spent)):
		}
	}
}

// HasWork reports whether the state has something for a lease holder to do.
func HasWork(s *statemachine.State) bool {
	if s.UnderMaintenance.Len() > 0 || s.VMsOnLoan.Len() > 0 || maintenance.NeedsSubstitutes(s) {
		return true
	}
	for _, wave := range s.Waves.All() {
		if !wave.State.Finished() {
			return true
		}
	}
	return false
}

// LatestPlan returns the plan of the latest round, or nil while another process
// holds the lease.
func (e *Executor) LatestPlan() *maintenance.Plan {
	return e.latest.Load()
}

// round observes, plans and acts once.
func (e *Executor) round(ctx context.Context) {
	epoch, ok := e.cfg.Lease.Epoch()
	if !ok {
		e.latest.Store(nil)
		clear(e.memory)
		return
	}
	state := e.cfg.Log.State()
	if !HasWork(state) {
		e.latest.Store(&maintenance.Plan{})
		return
	}
	observed := e.observe(ctx, state)
	begun := e.cfg.Clock.Now()
	plan := maintenance.Decide(state, observed, e.cfg.Params, begun)
	e.spent = e.cfg.Clock.Since(begun)
	e.latest.Store(&plan)
	var wg sync.WaitGroup
	for _, action := range plan.Actions {
		wg.Go(func() { e.carryOut(ctx, epoch, action) })
	}
	wg.Wait()
}

// carryOut takes one action. A VM that returns takes work before its record
// says so: until then no entry sends it any.
func (e *Executor) carryOut(ctx context.Context, epoch uint64, a maintenance.Action) {
	switch a.Kind {
	case maintenance.ActionCheckpoint:
		e.stopTask(ctx, a)
		return
	case maintenance.ActionAbandonDrain, maintenance.ActionMove:
		if err := e.call(ctx, a.VM, e.cfg.Pools.Resume); err != nil {
			e.cfg.Logger.Debug("VM not returned yet", "vm", a.VM.ID, "error", err.Error())
			return
		}
	}
	e.write(ctx, a, maintenance.CommandOf(a, epoch))
}

func (e *Executor) write(ctx context.Context, a maintenance.Action, command statemachine.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := e.cfg.Log.Propose(ctx, command)
	if err != nil {
		e.cfg.Logger.Debug("maintenance record not written", "kind", command.Kind(), "error", err.Error())
		return
	}
	if result.Rejection != nil {
		e.cfg.Logger.Debug("maintenance record void", "kind", command.Kind(), "reason", result.Rejection.Error())
		return
	}
	e.cfg.Report(a)
}

func (e *Executor) stopTask(ctx context.Context, a maintenance.Action) {
	err := e.call(ctx, a.VM, func(ctx context.Context, address string) error {
		return e.cfg.Workers.StopTask(ctx, address, a.Task, true)
	})
	if err != nil {
		e.cfg.Logger.Debug("task not checkpointed", "task", a.Task, "error", err.Error())
		return
	}
	e.cfg.Report(a)
}

// call bounds a call to a VM.
func (e *Executor) call(ctx context.Context, vm *statemachine.VM, do func(ctx context.Context, address string) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx, vm.Address)
}
