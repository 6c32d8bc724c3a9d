package replay

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// seenStep is what the recorder has seen of a VM in one step.
type seenStep struct {
	version uint64
	vm      ObservedVM
}

// lookAtWaves records what is to be done for the waves, as far as the VM list
// and the VMs' records tell: a VM has drained or is healthy once it is listed
// so.
func (r *Recorder) lookAtWaves(ctx context.Context) {
	state := r.player.State(ControlStream)
	if !hasOpenWave(state) {
		return
	}
	asked := time.Now()
	listed, err := r.VMs.List(ctx)
	if err != nil {
		return
	}
	step := &MaintenancePlan{AtMS: asked.UnixMilli(), ListedAtMS: asked.UnixMilli(), VMs: make(map[string]ObservedVM)}
	states := make(map[string]provider.VMState)
	for _, info := range listed {
		states[info.ID] = info.State
	}
	for id := range state.UnderMaintenance.All() {
		if vm, ok := state.VMs.Get(id); ok {
			step.VMs[id] = r.lookAtVM(ctx, vm, states[id])
		}
	}
	r.add("waves", Step{Plan: step}, func(got []string) { step.Outcomes = got })
}

func hasOpenWave(s *statemachine.State) bool {
	for _, wave := range s.Waves.All() {
		if !wave.State.Finished() {
			return true
		}
	}
	return false
}

// lookAtVM updates what was seen of the VM in its present step.
func (r *Recorder) lookAtVM(ctx context.Context, vm *statemachine.VM, listed provider.VMState) ObservedVM {
	seen := r.seen[vm.ID]
	if seen == nil || seen.version != vm.Version {
		seen = &seenStep{version: vm.Version}
		r.seen[vm.ID] = seen
	}
	now := time.Now().UnixMilli()
	if vm.Maintenance.Step == statemachine.StepRebooting {
		if listed == provider.VMActive {
			seen.vm.HealthyAtMS = now
		}
		return seen.vm
	}
	if listed == provider.VMDraining && seen.vm.CordonedAtMS == 0 {
		seen.vm.CordonedAtMS = now
	}
	if list, err := r.Workers.ListTasks(ctx, vm.Address); err == nil {
		seen.vm.TasksQueriedAtMS, seen.vm.Running = now, running(list)
	}
	return seen.vm
}

func running(list provider.TaskList) []ObservedTask {
	var out []ObservedTask
	for _, task := range list.Tasks {
		if task.State == provider.TaskRunning {
			out = append(out, ObservedTask{Task: task.ID, StartedAtMS: task.StartedMS})
		}
	}
	return out
}
