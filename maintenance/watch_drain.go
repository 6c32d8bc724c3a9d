package maintenance

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// checkpointAfter is the part of a drain's deadline after which long tasks are
// checkpointed.
const checkpointAfter = 2

// watchDrain finishes the drain of one VM: empty, given up, or waiting.
func (d *planner) watchDrain(vm *statemachine.VM) {
	seen := d.observed.VMs[vm.ID]
	if d.withdrawn(vm) {
		d.act(Action{Kind: ActionAbandonDrain, Wave: vm.Maintenance.Wave, VM: vm, Cause: "the wave has ended"})
		return
	}
	if d.empty(seen) {
		d.finishDrain(vm)
		return
	}
	since := time.UnixMilli(vm.Maintenance.SinceMS)
	deadline := d.deadline(vm)
	if d.now.Sub(since) >= deadline {
		d.act(Action{Kind: ActionAbandonDrain, Wave: vm.Maintenance.Wave, VM: vm, Cause: fmt.Sprintf("not empty after %v", deadline)})
		return
	}
	if d.now.Sub(since) >= deadline/checkpointAfter {
		d.checkpoint(vm, seen, since)
	}
	d.wait(ReasonNotEmpty, vm, fmt.Sprintf("%d tasks run", len(seen.Running)))
}

// empty reports whether the VM's own record, asked after every slot lease from
// before the drain had lapsed, shows no task.
func (d *planner) empty(seen VMObservation) bool {
	if seen.CordonedAt.IsZero() || len(seen.Running) > 0 {
		return false
	}
	quiet := seen.CordonedAt.Add(d.params.SlotLeaseTTL + d.params.MaxTaskListLag)
	return !seen.TasksQueriedAt.Before(quiet)
}

// withdrawn reports whether the VM drains for a wave that was aborted.
func (d *planner) withdrawn(vm *statemachine.VM) bool {
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
	d.act(Action{Kind: kind, Wave: vm.Maintenance.Wave, VM: vm, MoveTo: vm.Maintenance.MoveTo})
}

func (d *planner) deadline(vm *statemachine.VM) time.Duration {
	wave, ok := d.state.Waves.Get(vm.Maintenance.Wave)
	if !ok {
		return d.params.MoveDrainTimeout
	}
	return time.Duration(wave.DrainTimeoutMS) * time.Millisecond
}

// checkpoint saves and ends the tasks that allow it and began before the drain.
func (d *planner) checkpoint(vm *statemachine.VM, seen VMObservation, since time.Time) {
	for _, task := range seen.Running {
		if task.Checkpointable && !task.StartedAt.After(since) {
			d.act(Action{Kind: ActionCheckpoint, Wave: vm.Maintenance.Wave, VM: vm, Task: task.ID})
		}
	}
}

// watchReturn puts a restarted VM back into service once it is healthy.
func (d *planner) watchReturn(vm *statemachine.VM) {
	if d.observed.VMs[vm.ID].HealthyAt.IsZero() {
		d.wait(ReasonRestarting, vm, "not confirmed healthy yet")
		return
	}
	d.act(Action{Kind: ActionReturn, Wave: vm.Maintenance.Wave, VM: vm})
}
