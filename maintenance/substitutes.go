package maintenance

import (
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// planSubstitutes lends spare VMs to the pools that failures have brought below
// their own size less their budget. It takes precedence over loans of waves.
func (d *planner) planSubstitutes() {
	for name := range d.state.Pools.All() {
		missing := d.shortage[name] - d.recentFailures(name)
		for ; missing > 0; missing-- {
			if !d.lendSubstitute(name) {
				d.addWaveCondition(ReasonNoSpare, "", name, "no spare VM can substitute for failed ones now")
				break
			}
		}
	}
}

// recentFailures counts the pool's failures within the stabilization period. It
// is 0 for a pool that is not short.
func (d *planner) recentFailures(pool string) int {
	if d.shortage[pool] <= 0 {
		return 0
	}
	count := 0
	for _, vm := range d.state.VMs.All() {
		failed := vm.Pool == pool && vm.Condition != statemachine.ConditionHealthy
		if failed && d.now.Sub(time.UnixMilli(vm.ConditionSinceMS)) < d.params.FailureStabilization {
			count++
		}
	}
	return count
}

// lendSubstitute lends the pool a spare VM and reports whether there was one.
func (d *planner) lendSubstitute(pool string) bool {
	index := slices.IndexFunc(d.fleet.spares, func(vm *statemachine.VM) bool { return d.state.LendsVMs(vm.Pool) })
	if index < 0 {
		return false
	}
	vm := d.fleet.spares[index]
	d.fleet.spares = slices.Delete(d.fleet.spares, index, index+1)
	d.shortage[pool]--
	d.addAction(Action{Kind: ActionLend, VM: vm, MoveTo: pool, Cause: "substitutes for failed VMs"})
	return true
}

// stillNeeded reports whether the pool of the VM on loan is short without it or
// had a failure or recovery within the stabilization period.
func (d *planner) stillNeeded(vm *statemachine.VM) bool {
	changed := time.UnixMilli(d.fleet.conditionChangedMS[vm.Pool])
	return d.shortage.wouldBeShort(vm.Pool) || d.now.Sub(changed) < d.params.SubstituteStabilization
}
