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

// memory is what this process knows of a VM in its present step.
type memory struct {
	version   uint64
	restarted bool
	returned  bool
	seen      maintenance.VMObservation
}

// errNotEmpty means that a VM runs tasks although it was seen empty.
var errNotEmpty = errors.New("the VM runs tasks")

// observe brings each VM under maintenance to the state that its step asks for
// and notes what it says.
func (e *Executor) observe(ctx context.Context, s *statemachine.State) maintenance.Observation {
	out := maintenance.Observation{ListedAt: e.cfg.ListedAt(), RequiredVMs: e.cfg.RequiredVMs(), VMs: make(map[string]maintenance.VMObservation)}
	var wg sync.WaitGroup
	kept := make(map[string]*memory)
	for id := range s.UnderMaintenance.All() {
		vm, ok := s.VMs.Get(id)
		if !ok || vm.Condition != statemachine.ConditionHealthy {
			continue
		}
		m := e.remember(vm)
		kept[id] = m
		wg.Go(func() { e.look(ctx, vm, m) })
	}
	wg.Wait()
	e.memory = kept
	for id, m := range kept {
		out.VMs[id] = m.seen
	}
	return out
}

// remember returns the memory of the VM's present step, empty for a new one.
func (e *Executor) remember(vm *statemachine.VM) *memory {
	if m := e.memory[vm.ID]; m != nil && m.version == vm.Version {
		return m
	}
	return &memory{version: vm.Version}
}

// look does what the VM's step asks for, as far as the VM answers.
func (e *Executor) look(ctx context.Context, vm *statemachine.VM, m *memory) {
	step := e.lookDrain
	if vm.Maintenance.Step == statemachine.StepRebooting {
		step = e.lookRestart
	}
	if err := step(ctx, vm, m); err != nil {
		e.cfg.Logger.Debug("VM under maintenance does not answer as it should", "vm", vm.ID, "error", err.Error())
	}
}

// lookDrain cordons the VM and lists its tasks.
func (e *Executor) lookDrain(ctx context.Context, vm *statemachine.VM, m *memory) error {
	if m.seen.CordonedAt.IsZero() {
		if err := e.call(ctx, vm, e.cfg.Pools.Drain); err != nil {
			return err
		}
		m.seen.CordonedAt = e.cfg.Clock.Now()
	}
	asked := e.cfg.Clock.Now()
	running, _, err := e.running(ctx, vm)
	if err != nil {
		return err
	}
	m.seen.TasksQueriedAt, m.seen.Running = asked, running
	return nil
}

// lookRestart restarts the VM once, lets it take work again and confirms that
// it grants a slot. A VM that runs tasks is not restarted.
func (e *Executor) lookRestart(ctx context.Context, vm *statemachine.VM, m *memory) error {
	if !m.restarted {
		if err := e.restart(ctx, vm); err != nil {
			return err
		}
		m.restarted = true
	}
	if !m.returned {
		if err := e.call(ctx, vm, e.cfg.Pools.Resume); err != nil {
			return err
		}
		m.returned = true
	}
	if err := e.probe(ctx, vm); err != nil {
		return err
	}
	m.seen.HealthyAt = e.cfg.Clock.Now()
	return nil
}

func (e *Executor) restart(ctx context.Context, vm *statemachine.VM) error {
	if err := e.call(ctx, vm, e.cfg.Pools.Drain); err != nil {
		return err
	}
	running, at, err := e.running(ctx, vm)
	if err != nil {
		return err
	}
	if len(running) > 0 {
		return errNotEmpty
	}
	if _, ok := e.cfg.Lease.Epoch(); !ok {
		return errors.New("the maintenance lease has run out")
	}
	return e.call(ctx, vm, func(ctx context.Context, address string) error {
		return e.cfg.Pools.Reboot(ctx, address, at)
	})
}

// running lists the tasks that run on the VM, and returns where its record of
// tasks stands.
func (e *Executor) running(ctx context.Context, vm *statemachine.VM) (out []maintenance.RunningTask, at provider.TaskListPosition, err error) {
	err = e.call(ctx, vm, func(ctx context.Context, address string) error {
		list, err := e.cfg.Workers.ListTasks(ctx, address)
		at = list.Position()
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
	return out, at, err
}

// probe confirms that the VM grants a slot, and gives it back.
func (e *Executor) probe(ctx context.Context, vm *statemachine.VM) error {
	return e.call(ctx, vm, func(ctx context.Context, address string) error {
		lease, err := e.cfg.Workers.AcquireSlot(ctx, address, provider.SlotRequest{Holder: e.cfg.Self, TTL: callTimeout})
		if err != nil {
			return err
		}
		return e.cfg.Workers.ReleaseSlot(ctx, address, lease.ID)
	})
}
