package replay

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// stepObservation is what the recorder observed of a VM in one maintenance step.
type stepObservation struct {
	version uint64
	vm      ObservedVM
}

// recordWaves records the planned maintenance actions, as far as the VM list and
// the VMs' task lists determine them: a VM counts as drained or healthy once the
// list shows it.
func (r *Recorder) recordWaves(ctx context.Context) {
	state := r.player.State(ControlStream)
	if !hasUnfinishedWave(state) {
		return
	}
	queriedAt := time.Now()
	listed, err := r.VMs.List(ctx)
	if err != nil {
		return
	}
	step := &MaintenancePlan{AtMS: queriedAt.UnixMilli(), ListedAtMS: queriedAt.UnixMilli(), VMs: make(map[string]ObservedVM)}
	states := make(map[string]provider.VMState)
	for _, info := range listed {
		states[info.ID] = info.State
	}
	for id := range state.UnderMaintenance.All() {
		if vm, ok := state.VMs.Get(id); ok {
			step.VMs[id] = r.observeVM(ctx, vm, states[id])
		}
	}
	r.addIfChanged("waves", Step{Plan: step}, func(got []string) { step.Outcomes = got })
}

func hasUnfinishedWave(s *statemachine.State) bool {
	for _, wave := range s.Waves.All() {
		if !wave.State.Finished() {
			return true
		}
	}
	return false
}

// observeVM updates the observation of the VM in its current step.
func (r *Recorder) observeVM(ctx context.Context, vm *statemachine.VM, listed provider.VMState) ObservedVM {
	observed := r.observed[vm.ID]
	if observed == nil || observed.version != vm.Version {
		observed = &stepObservation{version: vm.Version}
		r.observed[vm.ID] = observed
	}
	now := time.Now().UnixMilli()
	if vm.Maintenance.Step == statemachine.StepRebooting {
		if listed == provider.VMActive {
			observed.vm.HealthyAtMS = now
		}
		return observed.vm
	}
	if listed == provider.VMDraining && observed.vm.CordonedAtMS == 0 {
		observed.vm.CordonedAtMS = now
	}
	if list, err := r.Workers.ListTasks(ctx, vm.Address); err == nil {
		observed.vm.TasksQueriedAtMS, observed.vm.Running = now, runningTasks(list)
	}
	return observed.vm
}

func runningTasks(list provider.TaskList) []ObservedTask {
	var out []ObservedTask
	for _, task := range list.Tasks {
		if task.State == provider.TaskRunning {
			out = append(out, ObservedTask{Task: task.ID, StartedAtMS: task.StartedMS})
		}
	}
	return out
}
