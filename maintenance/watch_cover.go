package maintenance

import (
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// watchCover lends spare VMs to the pools that failures have brought below
// their own size less their budget. This goes before the loans of waves.
func (d *planner) watchCover() {
	for name := range d.state.Pools.All() {
		missing := d.short[name] - d.unsettled(name)
		for ; missing > 0; missing-- {
			if !d.cover(name) {
				d.waitWave(ReasonNoSpare, "", name, "no spare VM can stand in for failed ones now")
				break
			}
		}
	}
}

// unsettled counts the pool's failures that are too new to act on. It looks
// only at a pool that is short.
func (d *planner) unsettled(pool string) int {
	if d.short[pool] <= 0 {
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

// cover lends a spare VM to the pool and reports whether there was one.
func (d *planner) cover(pool string) bool {
	index := slices.IndexFunc(d.fleet.spares, func(vm *statemachine.VM) bool { return d.state.LendsVMs(vm.Pool) })
	if index < 0 {
		return false
	}
	vm := d.fleet.spares[index]
	d.fleet.spares = slices.Delete(d.fleet.spares, index, index+1)
	d.short[pool]--
	d.act(Action{Kind: ActionLend, VM: vm, MoveTo: pool, Cause: "stands in for failed VMs"})
	return true
}

// stillNeeded reports whether the lent VM's pool is short without it, or was
// not quiet for long enough to tell.
func (d *planner) stillNeeded(vm *statemachine.VM) bool {
	changed := time.UnixMilli(d.fleet.changedMS[vm.Pool])
	return d.short.needs(vm.Pool) || d.now.Sub(changed) < d.params.SubstituteStabilization
}
