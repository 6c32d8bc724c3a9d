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
	// roundInterval is the minimum time between two rounds.
	roundInterval = 100 * time.Millisecond
	// decisionCPUDivisor is the inverse of the fraction of a core that decisions
	// may use: in a large fleet the rounds are further apart.
	decisionCPUDivisor = 50
	// callTimeout bounds one call to a VM.
	callTimeout = time.Second
	// proposeTimeout bounds the write of one record.
	proposeTimeout = 2 * time.Second
)

// Executor plans and executes maintenance while it holds the lease.
type Executor struct {
	cfg          Config
	stepProgress map[string]*stepProgress
	latestPlan   atomic.Pointer[maintenance.Plan]
	// decisionTime is the duration of the latest decision.
	decisionTime time.Duration
}

// New returns an executor that does nothing until Run is called.
func New(cfg Config) *Executor {
	return &Executor{cfg: cfg, stepProgress: make(map[string]*stepProgress)}
}

// Run executes rounds until the context ends.
func (e *Executor) Run(ctx context.Context) {
	for {
		e.decisionTime = 0
		e.runRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-e.cfg.Clock.After(max(roundInterval, decisionCPUDivisor*e.decisionTime)):
		}
	}
}

// HasWork reports whether the state requires a holder of the maintenance lease.
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
	return e.latestPlan.Load()
}

// runRound observes, plans and executes once.
func (e *Executor) runRound(ctx context.Context) {
	epoch, ok := e.cfg.Lease.Epoch()
	if !ok {
		e.latestPlan.Store(nil)
		clear(e.stepProgress)
		return
	}
	state := e.cfg.Log.State()
	if !HasWork(state) {
		e.latestPlan.Store(&maintenance.Plan{})
		return
	}
	observed := e.observe(ctx, state)
	startedAt := e.cfg.Clock.Now()
	plan := maintenance.Decide(state, observed, e.cfg.Params, startedAt)
	e.decisionTime = e.cfg.Clock.Since(startedAt)
	e.latestPlan.Store(&plan)
	var wg sync.WaitGroup
	for _, action := range plan.Actions {
		wg.Go(func() { e.execute(ctx, epoch, action) })
	}
	wg.Wait()
}

// execute makes the call and writes the record of an action. A returned VM
// accepts work before its record says so; until then no entry sends it any.
func (e *Executor) execute(ctx context.Context, epoch uint64, a maintenance.Action) {
	switch a.Kind {
	case maintenance.ActionCheckpoint:
		e.stopTask(ctx, a)
		return
	case maintenance.ActionAbandonDrain, maintenance.ActionMove:
		if err := e.call(ctx, a.VM, e.cfg.Pools.Resume); err != nil {
			e.cfg.Logger.Debug("VM not returned to service; the next round retries", "vm", a.VM.ID, "error", err.Error())
			return
		}
	}
	e.proposeRecord(ctx, a, maintenance.CommandOf(a, epoch))
}

func (e *Executor) proposeRecord(ctx context.Context, a maintenance.Action, command statemachine.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := e.cfg.Log.Propose(ctx, command)
	if err != nil {
		e.cfg.Logger.Debug("maintenance record not written", "kind", command.Kind(), "error", err.Error())
		return
	}
	if result.Rejection != nil {
		e.cfg.Logger.Debug("maintenance record rejected", "kind", command.Kind(), "reason", result.Rejection.Error())
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

// call calls a VM with callTimeout.
func (e *Executor) call(ctx context.Context, vm *statemachine.VM, do func(ctx context.Context, address string) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx, vm.Address)
}
