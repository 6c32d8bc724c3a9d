package maintenance

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Plan is what to do now, and what the waves wait for.
type Plan struct {
	Actions    []Action
	Conditions []Condition
}

// planner holds one decision while its watchers add to it.
type planner struct {
	state    *statemachine.State
	observed Observation
	params   Params
	now      time.Time
	capacity capacity
	fleet    *fleetView
	room     *room
	short    shortages
	plan     Plan
}

// Decide plans the next steps of all waves and of the operators' moves.
func Decide(s *statemachine.State, observed Observation, p Params, now time.Time) Plan {
	open := openWaves(s)
	d := &planner{state: s, observed: observed, params: p, now: now}
	d.watchSteps()
	if len(open) == 0 && s.VMsOnLoan.Len() == 0 && !NeedsSubstitutes(s) {
		return d.plan
	}
	d.fleet = newFleetView(s, open)
	d.capacity = newCapacity(s, observed.RequiredVMs)
	d.room = newRoom(s)
	d.short = newShortages(s)
	d.watchCover()
	for _, wave := range open {
		d.watchWave(d.fleet.waves[wave.ID])
	}
	d.watchStrays(open)
	return d.plan
}

// openWaves returns the waves that have not ended, in the order of their IDs.
func openWaves(s *statemachine.State) []*statemachine.Wave {
	var out []*statemachine.Wave
	for _, wave := range s.Waves.All() {
		if !wave.State.Finished() {
			out = append(out, wave)
		}
	}
	return out
}

// watchSteps looks after each VM that is in a step.
func (d *planner) watchSteps() {
	for id := range d.state.UnderMaintenance.All() {
		vm, ok := d.state.VMs.Get(id)
		if !ok {
			continue
		}
		if vm.Condition != statemachine.ConditionHealthy {
			d.wait(ReasonVMFailed, vm, string(vm.Condition))
			continue
		}
		if vm.Maintenance.Step == statemachine.StepRebooting {
			d.watchReturn(vm)
			continue
		}
		d.watchDrain(vm)
	}
}

// watchWave looks after one wave.
func (d *planner) watchWave(v *waveView) {
	if v.wave.State != statemachine.WaveRunning {
		d.waitWave(ReasonPaused, v.wave.ID, "", v.wave.Cause)
		return
	}
	d.reportSkipped(v)
	if !d.watchHealth(v) {
		return
	}
	if d.now.Sub(d.observed.ListedAt) > d.params.MaxVMListAge {
		d.waitWave(ReasonListStale, v.wave.ID, "", "the VM list cannot be read")
		return
	}
	d.watchLoans(v)
	d.startDrains(v)
	d.watchEnd(v)
}

func (d *planner) act(a Action) {
	d.plan.Actions = append(d.plan.Actions, a)
}

// wait notes what a VM's step waits for.
func (d *planner) wait(reason Reason, vm *statemachine.VM, message string) {
	d.plan.Conditions = append(d.plan.Conditions, Condition{
		Reason: reason, Wave: vm.Maintenance.Wave, Pool: vm.Pool, VM: vm.ID, Message: message,
	})
}

// waitWave notes what a wave waits for.
func (d *planner) waitWave(reason Reason, wave, pool, message string) {
	d.plan.Conditions = append(d.plan.Conditions, Condition{Reason: reason, Wave: wave, Pool: pool, Message: message})
}
