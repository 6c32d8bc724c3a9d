package maintenance

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// checkHealth pauses a wave whose VMs fail, and reports whether it may continue.
// A rack that failed as a whole does not count against the wave.
func (d *planner) checkHealth(v *waveView) bool {
	failures, stabilized := d.failures(v)
	if failures <= v.wave.MaxFailures {
		return true
	}
	message := fmt.Sprintf("%d of its VMs have failed", failures)
	d.addWaveCondition(ReasonHealth, v.wave.ID, "", message)
	if stabilized > v.wave.MaxFailures {
		d.addAction(Action{Kind: ActionPauseWave, Wave: v.wave.ID, WaveVersion: v.wave.Version, Cause: message})
	}
	return false
}

// failures counts the VMs that failed during or after their maintenance beyond
// those that an operator has accepted: all, and those that lasted for the
// stabilization period.
func (d *planner) failures(v *waveView) (all, stabilized int) {
	for _, vm := range v.failed {
		if d.fleet.racks[vm.Rack].allFailed() {
			continue
		}
		all++
		if d.now.Sub(time.UnixMilli(vm.ConditionSinceMS)) >= d.params.FailureStabilization {
			stabilized++
		}
	}
	return all - v.wave.AcceptedFailures, stabilized - v.wave.AcceptedFailures
}

// reportSkipped adds a condition with the number of skipped VMs.
func (d *planner) reportSkipped(v *waveView) {
	if v.skipped > 0 {
		d.addWaveCondition(ReasonDeadline, v.wave.ID, "", fmt.Sprintf("%d VMs were skipped because their drain timed out", v.skipped))
	}
}

// planWaveEnd ends a wave that has no VM left to maintain or return.
func (d *planner) planWaveEnd(v *waveView) {
	for _, vm := range v.blocked {
		d.plan.Conditions = append(d.plan.Conditions, blockedCondition(v.wave.ID, vm))
	}
	remaining := len(v.pending) + len(v.blocked) + len(v.active) + len(v.moving) + len(v.lent)
	if remaining == 0 {
		cause := fmt.Sprintf("%d VMs maintained, %d given up", v.done, v.skipped)
		d.addAction(Action{Kind: ActionEndWave, Wave: v.wave.ID, WaveVersion: v.wave.Version, Cause: cause})
	}
}

// blockedCondition returns why the wave cannot drain the VM.
func blockedCondition(wave string, vm *statemachine.VM) Condition {
	out := Condition{Reason: ReasonVMFailed, Wave: wave, Pool: vm.Pool, VM: vm.ID, Message: string(vm.Condition)}
	if vm.Condition == statemachine.ConditionHealthy && vm.Quarantine != nil {
		out.Reason, out.Message = ReasonQuarantined, string(vm.Quarantine.Cause)
	}
	return out
}
