package maintenance

import (
	"slices"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// loans counts the spare VMs of a wave by pool.
type loans struct {
	// work counts the VMs that the wave has yet to maintain or to return.
	work map[string]int
	// lent counts the spare VMs that are in a pool or on their way to it.
	lent map[string]int
}

// watchLoans lends spare VMs to the pools that keep their size while their own
// VMs are maintained. A VM that is needed no more goes straight to the next
// pool, which saves a move, or home after the last.
func (d *planner) watchLoans(v *waveView) {
	l := d.countLoans(v)
	for _, vm := range v.lent {
		if l.work[vm.Pool] > 0 {
			continue
		}
		if d.short.needs(vm.Pool) {
			d.waitWave(ReasonCapacity, v.wave.ID, vm.Pool, "a spare VM stands in for failed ones")
			continue
		}
		to, ok := d.nextPool(v, l)
		if !ok {
			to = vm.Home
		}
		d.move(v, vm, to, l)
	}
	d.lend(v, l)
}

func (d *planner) countLoans(v *waveView) loans {
	l := loans{work: make(map[string]int), lent: make(map[string]int)}
	for _, vm := range slices.Concat(v.pending, v.active) {
		l.work[vm.Pool]++
	}
	for _, vm := range v.lent {
		l.lent[vm.Pool]++
	}
	for _, vm := range v.moving {
		l.lent[vm.Maintenance.MoveTo]++
	}
	return l
}

// lend opens further pools with VMs of the spare pools.
func (d *planner) lend(v *waveView, l loans) {
	spares := d.fleet.spares
	for d.lentPools(v, l) < d.maxLentPools(v) {
		pool, ok := d.nextPool(v, l)
		if !ok {
			return
		}
		index := slices.IndexFunc(spares, func(vm *statemachine.VM) bool { return d.mayLend(v, vm) })
		if index < 0 {
			d.waitWave(ReasonNoSpare, v.wave.ID, pool, "no spare VM can be lent now")
			return
		}
		d.move(v, spares[index], pool, l)
		spares = spares[index+1:]
	}
}

// mayLend reports whether the spare VM can be lent. One that the wave has yet
// to maintain is maintained first, so that it does not come home for that.
func (d *planner) mayLend(v *waveView, vm *statemachine.VM) bool {
	id := v.wave.ID
	due := v.wave.Covers(vm) && vm.MaintainedBy != id && vm.SkippedBy != id
	return !due && d.room.refuse(vm) == ""
}

// nextPool returns the first pool that has work and no spare VM.
func (d *planner) nextPool(v *waveView, l loans) (string, bool) {
	for _, pool := range v.wave.Pools {
		if d.capacity.keepSize[pool] && l.work[pool] > 0 && l.lent[pool] == 0 {
			return pool, true
		}
	}
	return "", false
}

// lentPools counts the wave's pools that have a spare VM.
func (d *planner) lentPools(v *waveView, l loans) int {
	count := 0
	for _, pool := range v.wave.Pools {
		if d.capacity.keepSize[pool] && l.lent[pool] > 0 {
			count++
		}
	}
	return count
}

// maxLentPools is the number of pools that may have a spare VM at once: one
// while the first VM of the wave is not back in service.
func (d *planner) maxLentPools(v *waveView) int {
	budgets, policy := 0, Policy{BudgetFraction: 1}
	for _, name := range v.wave.Pools {
		if pool, ok := d.state.Pools.Get(name); ok && d.capacity.keepSize[name] {
			budgets += pool.MaxUnavailable
			policy = strictest(policy, d.capacity.policies[name])
		}
	}
	return min(policy.lentPools(budgets), v.width())
}

// move drains the VM for another pool, if the budgets have room.
func (d *planner) move(v *waveView, vm *statemachine.VM, to string, l loans) {
	if reason := d.room.refuse(vm); reason != "" {
		d.waitWave(reason, v.wave.ID, vm.Pool, "a spare VM cannot move on")
		return
	}
	d.room.take(vm)
	d.short.leave(vm)
	l.lent[to]++
	d.act(Action{Kind: ActionDrain, Wave: v.wave.ID, VM: vm, MoveTo: to})
}

// watchStrays sends lent VMs home that no open wave uses and no pool needs.
func (d *planner) watchStrays(open []*statemachine.Wave) {
	for _, vm := range d.fleet.strays {
		used := slices.ContainsFunc(open, func(w *statemachine.Wave) bool { return slices.Contains(w.Pools, vm.Pool) })
		if !used && !d.stillNeeded(vm) && d.room.refuse(vm) == "" {
			d.room.take(vm)
			d.short.leave(vm)
			d.act(Action{Kind: ActionDrain, VM: vm, MoveTo: vm.Home})
		}
	}
}
