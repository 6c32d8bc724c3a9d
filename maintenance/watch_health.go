package maintenance

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// watchHealth stops a wave whose VMs fail, and reports whether it may go on. A
// rack that failed as a whole does not count against the wave.
func (d *planner) watchHealth(v *waveView) bool {
	failures, settled := d.failures(v)
	if failures <= v.wave.MaxFailures {
		return true
	}
	message := fmt.Sprintf("%d of its VMs have failed", failures)
	d.waitWave(ReasonHealth, v.wave.ID, "", message)
	if settled > v.wave.MaxFailures {
		d.act(Action{Kind: ActionPauseWave, Wave: v.wave.ID, WaveVersion: v.wave.Version, Cause: message})
	}
	return false
}

// failures counts the failed VMs that the wave has touched beyond those that
// an operator has accepted, and those of them that are no news any more.
func (d *planner) failures(v *waveView) (all, settled int) {
	for _, vm := range v.failed {
		if d.fleet.racks[vm.Rack].lost() {
			continue
		}
		all++
		if d.now.Sub(time.UnixMilli(vm.ConditionSinceMS)) >= d.params.FailureStabilization {
			settled++
		}
	}
	return all - v.wave.AcceptedFailures, settled - v.wave.AcceptedFailures
}

// reportSkipped names the VMs that the wave has given up.
func (d *planner) reportSkipped(v *waveView) {
	if v.skipped > 0 {
		d.waitWave(ReasonDeadline, v.wave.ID, "", fmt.Sprintf("%d VMs were given up at their deadline", v.skipped))
	}
}

// watchEnd ends a wave that has nothing left to do.
func (d *planner) watchEnd(v *waveView) {
	for _, vm := range v.blocked {
		d.plan.Conditions = append(d.plan.Conditions, blockedBy(v.wave.ID, vm))
	}
	left := len(v.pending) + len(v.blocked) + len(v.active) + len(v.moving) + len(v.lent)
	if left == 0 {
		cause := fmt.Sprintf("%d VMs maintained, %d given up", v.done, v.skipped)
		d.act(Action{Kind: ActionEndWave, Wave: v.wave.ID, WaveVersion: v.wave.Version, Cause: cause})
	}
}

// blockedBy says why the wave cannot begin with the VM.
func blockedBy(wave string, vm *statemachine.VM) Condition {
	out := Condition{Reason: ReasonVMFailed, Wave: wave, Pool: vm.Pool, VM: vm.ID, Message: string(vm.Condition)}
	if vm.Condition == statemachine.ConditionHealthy && vm.Quarantine != nil {
		out.Reason, out.Message = ReasonQuarantined, string(vm.Quarantine.Cause)
	}
	return out
}
