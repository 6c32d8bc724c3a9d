package maintenance

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Plan is the actions to take now and the conditions the waves wait for.
type Plan struct {
	Actions    []Action
	Conditions []Condition
}

// planner collects the actions and conditions of one decision.
type planner struct {
	state           *statemachine.State
	observed        Observation
	params          Params
	now             time.Time
	capacity        capacity
	fleet           *fleetView
	remainingBudget *remainingBudget
	shortage        shortages
	plan            Plan
}

// Decide plans the next steps of all waves and of the operators' moves.
func Decide(s *statemachine.State, observed Observation, p Params, now time.Time) Plan {
	unfinished := unfinishedWaves(s)
	d := &planner{state: s, observed: observed, params: p, now: now}
	d.planSteps()
	if len(unfinished) == 0 && s.VMsOnLoan.Len() == 0 && !NeedsSubstitutes(s) {
		return d.plan
	}
	d.fleet = newFleetView(s, unfinished)
	d.capacity = newCapacity(s, observed.RequiredVMs)
	d.remainingBudget = newRemainingBudget(s)
	d.shortage = newShortages(s)
	d.planSubstitutes()
	for _, wave := range unfinished {
		d.planWave(d.fleet.waves[wave.ID])
	}
	d.returnUnusedLoans(unfinished)
	return d.plan
}

// unfinishedWaves returns the waves that have not finished, ordered by ID.
func unfinishedWaves(s *statemachine.State) []*statemachine.Wave {
	var out []*statemachine.Wave
	for _, wave := range s.Waves.All() {
		if !wave.State.Finished() {
			out = append(out, wave)
		}
	}
	return out
}

// planSteps plans the next step of each VM under maintenance.
func (d *planner) planSteps() {
	for id := range d.state.UnderMaintenance.All() {
		vm, ok := d.state.VMs.Get(id)
		if !ok {
			continue
		}
		if vm.Condition != statemachine.ConditionHealthy {
			d.addVMCondition(ReasonVMFailed, vm, string(vm.Condition))
			continue
		}
		if vm.Maintenance.Step == statemachine.StepRebooting {
			d.planReturn(vm)
			continue
		}
		d.planDrain(vm)
	}
}

// planWave plans the next steps of one wave.
func (d *planner) planWave(v *waveView) {
	if v.wave.State != statemachine.WaveRunning {
		d.addWaveCondition(ReasonPaused, v.wave.ID, "", v.wave.Cause)
		return
	}
	d.reportSkipped(v)
	if !d.checkHealth(v) {
		return
	}
	if d.now.Sub(d.observed.ListedAt) > d.params.MaxVMListAge {
		d.addWaveCondition(ReasonListStale, v.wave.ID, "", "the VM list cannot be read")
		return
	}
	d.planLoans(v)
	d.startDrains(v)
	d.planWaveEnd(v)
}

func (d *planner) addAction(a Action) {
	d.plan.Actions = append(d.plan.Actions, a)
}

// addVMCondition adds a condition for which a VM's step waits.
func (d *planner) addVMCondition(reason Reason, vm *statemachine.VM, message string) {
	d.plan.Conditions = append(d.plan.Conditions, Condition{
		Reason: reason, Wave: vm.Maintenance.Wave, Pool: vm.Pool, VM: vm.ID, Message: message,
	})
}

// addWaveCondition adds a condition for which a wave waits.
func (d *planner) addWaveCondition(reason Reason, wave, pool, message string) {
	d.plan.Conditions = append(d.plan.Conditions, Condition{Reason: reason, Wave: wave, Pool: pool, Message: message})
}
