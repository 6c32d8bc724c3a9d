package maintenance

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// checkpointDivisor divides the drain timeout into the time after which long
// tasks are checkpointed.
const checkpointDivisor = 2

// planDrain plans the next step of a draining VM: finish, abandon or wait.
func (d *planner) planDrain(vm *statemachine.VM) {
	observation := d.observed.VMs[vm.ID]
	if d.waveAborted(vm) {
		d.addAction(Action{Kind: ActionAbandonDrain, Wave: vm.Maintenance.Wave, VM: vm, Cause: "the wave has ended"})
		return
	}
	if d.confirmedEmpty(observation) {
		d.finishDrain(vm)
		return
	}
	since := time.UnixMilli(vm.Maintenance.SinceMS)
	drainTimeout := d.drainTimeout(vm)
	if d.now.Sub(since) >= drainTimeout {
		d.addAction(Action{Kind: ActionAbandonDrain, Wave: vm.Maintenance.Wave, VM: vm, Cause: fmt.Sprintf("not empty after %v", drainTimeout)})
		return
	}
	if d.now.Sub(since) >= drainTimeout/checkpointDivisor {
		d.checkpoint(vm, observation, since)
	}
	d.addVMCondition(ReasonNotEmpty, vm, fmt.Sprintf("%d tasks running", len(observation.Running)))
}

// confirmedEmpty reports whether the VM's own task list, queried after every
// slot lease from before the drain had expired, shows no task.
func (d *planner) confirmedEmpty(observation VMObservation) bool {
	if observation.CordonedAt.IsZero() || len(observation.Running) > 0 {
		return false
	}
	leasesExpiredAt := observation.CordonedAt.Add(d.params.SlotLeaseTTL + d.params.MaxTaskListLag)
	return !observation.TasksQueriedAt.Before(leasesExpiredAt)
}

// waveAborted reports whether the VM drains for a wave that was aborted.
func (d *planner) waveAborted(vm *statemachine.VM) bool {
	if vm.Maintenance.Wave == "" {
		return false
	}
	wave, ok := d.state.Waves.Get(vm.Maintenance.Wave)
	return !ok || wave.State == statemachine.WaveAborted
}

func (d *planner) finishDrain(vm *statemachine.VM) {
	kind := ActionReboot
	if vm.Maintenance.MoveTo != "" {
		kind = ActionMove
	}
	d.addAction(Action{Kind: kind, Wave: vm.Maintenance.Wave, VM: vm, MoveTo: vm.Maintenance.MoveTo})
}

func (d *planner) drainTimeout(vm *statemachine.VM) time.Duration {
	wave, ok := d.state.Waves.Get(vm.Maintenance.Wave)
	if !ok {
		return d.params.MoveDrainTimeout
	}
	return time.Duration(wave.DrainTimeoutMS) * time.Millisecond
}

// checkpoint saves and stops checkpointable tasks started before the drain.
func (d *planner) checkpoint(vm *statemachine.VM, observation VMObservation, since time.Time) {
	for _, task := range observation.Running {
		if task.Checkpointable && !task.StartedAt.After(since) {
			d.addAction(Action{Kind: ActionCheckpoint, Wave: vm.Maintenance.Wave, VM: vm, Task: task.ID})
		}
	}
}

// planReturn returns a restarted VM to service once it is healthy.
func (d *planner) planReturn(vm *statemachine.VM) {
	if d.observed.VMs[vm.ID].HealthyAt.IsZero() {
		d.addVMCondition(ReasonRestarting, vm, "not confirmed healthy yet")
		return
	}
	d.addAction(Action{Kind: ActionReturn, Wave: vm.Maintenance.Wave, VM: vm})
}
