package executor

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/maintenance"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// stepProgress is what this process knows of a VM in its current step.
type stepProgress struct {
	version     uint64
	restarted   bool
	returned    bool
	observation maintenance.VMObservation
}

// errNotEmpty means that a VM runs tasks although it was confirmed empty.
var errNotEmpty = errors.New("VM still runs tasks")

// observe advances each VM under maintenance in its current step and collects
// the observations.
func (e *Executor) observe(ctx context.Context, s *statemachine.State) maintenance.Observation {
	out := maintenance.Observation{ListedAt: e.cfg.ListedAt(), RequiredVMs: e.cfg.RequiredVMs(), VMs: make(map[string]maintenance.VMObservation)}
	var wg sync.WaitGroup
	current := make(map[string]*stepProgress)
	for id := range s.UnderMaintenance.All() {
		vm, ok := s.VMs.Get(id)
		if !ok || vm.Condition != statemachine.ConditionHealthy {
			continue
		}
		p := e.progressOf(vm)
		current[id] = p
		wg.Go(func() { e.advance(ctx, vm, p) })
	}
	wg.Wait()
	e.stepProgress = current
	for id, p := range current {
		out.VMs[id] = p.observation
	}
	return out
}

// progressOf returns the progress of the VM's current step, empty for a new one.
func (e *Executor) progressOf(vm *statemachine.VM) *stepProgress {
	if p := e.stepProgress[vm.ID]; p != nil && p.version == vm.Version {
		return p
	}
	return &stepProgress{version: vm.Version}
}

// advance makes the calls of the VM's current step and logs a failure.
func (e *Executor) advance(ctx context.Context, vm *statemachine.VM, p *stepProgress) {
	step := e.cordonAndListTasks
	if vm.Maintenance.Step == statemachine.StepRebooting {
		step = e.restartAndProbe
	}
	if err := step(ctx, vm, p); err != nil {
		e.cfg.Logger.Debug("maintenance step failed; the next round retries", "vm", vm.ID, "error", err.Error())
	}
}

// cordonAndListTasks cordons the VM and lists its tasks.
func (e *Executor) cordonAndListTasks(ctx context.Context, vm *statemachine.VM, p *stepProgress) error {
	if p.observation.CordonedAt.IsZero() {
		if err := e.call(ctx, vm, e.cfg.Pools.Drain); err != nil {
			return err
		}
		p.observation.CordonedAt = e.cfg.Clock.Now()
	}
	queriedAt := e.cfg.Clock.Now()
	runningTasks, _, err := e.runningTasks(ctx, vm)
	if err != nil {
		return err
	}
	p.observation.TasksQueriedAt, p.observation.Running = queriedAt, runningTasks
	return nil
}

// restartAndProbe restarts the VM once, lets it accept work again and confirms
// that it grants a slot. A VM that runs tasks is not restarted.
func (e *Executor) restartAndProbe(ctx context.Context, vm *statemachine.VM, p *stepProgress) error {
	if !p.restarted {
		if err := e.restart(ctx, vm); err != nil {
			return err
		}
		p.restarted = true
	}
	if !p.returned {
		if err := e.call(ctx, vm, e.cfg.Pools.Resume); err != nil {
			return err
		}
		p.returned = true
	}
	if err := e.probe(ctx, vm); err != nil {
		return err
	}
	p.observation.HealthyAt = e.cfg.Clock.Now()
	return nil
}

func (e *Executor) restart(ctx context.Context, vm *statemachine.VM) error {
	if err := e.call(ctx, vm, e.cfg.Pools.Drain); err != nil {
		return err
	}
	runningTasks, position, err := e.runningTasks(ctx, vm)
	if err != nil {
		return err
	}
	if len(runningTasks) > 0 {
		return errNotEmpty
	}
	if _, ok := e.cfg.Lease.Epoch(); !ok {
		return errors.New("maintenance lease expired")
	}
	return e.call(ctx, vm, func(ctx context.Context, address string) error {
		return e.cfg.Pools.Reboot(ctx, address, position)
	})
}

// runningTasks lists the running tasks of the VM, and returns the position of
// its task record.
func (e *Executor) runningTasks(ctx context.Context, vm *statemachine.VM) (out []maintenance.RunningTask, position provider.TaskListPosition, err error) {
	err = e.call(ctx, vm, func(ctx context.Context, address string) error {
		list, err := e.cfg.Workers.ListTasks(ctx, address)
		position = list.Position()
		for _, task := range list.Tasks {
			if task.State != provider.TaskRunning {
				continue
			}
			out = append(out, maintenance.RunningTask{
				ID: task.ID, StartedAt: time.UnixMilli(task.StartedMS), Checkpointable: e.cfg.Checkpointable(task),
			})
		}
		return err
	})
	return out, position, err
}

// probe confirms that the VM grants a slot, and releases it.
func (e *Executor) probe(ctx context.Context, vm *statemachine.VM) error {
	return e.call(ctx, vm, func(ctx context.Context, address string) error {
		lease, err := e.cfg.Workers.AcquireSlot(ctx, address, provider.SlotRequest{Holder: e.cfg.Self, TTL: callTimeout})
		if err != nil {
			return err
		}
		return e.cfg.Workers.ReleaseSlot(ctx, address, lease.ID)
	})
}
