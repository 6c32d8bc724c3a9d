package maintenance

import (
	"slices"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// loans counts the remaining VMs and the loans of a wave by pool.
type loans struct {
	// remaining counts the VMs that the wave has yet to maintain or to return.
	remaining map[string]int
	// lent counts the spare VMs that are in a pool or draining to move to it.
	lent map[string]int
}

// planLoans lends spare VMs to the pools that keep their size while their own
// VMs are maintained. A VM that is no longer needed moves directly to the next
// pool, which saves a move, or to its home pool after the last.
func (d *planner) planLoans(v *waveView) {
	l := d.countLoans(v)
	for _, vm := range v.lent {
		if l.remaining[vm.Pool] > 0 {
			continue
		}
		if d.shortage.wouldBeShort(vm.Pool) {
			d.addWaveCondition(ReasonCapacity, v.wave.ID, vm.Pool, "a spare VM substitutes for failed ones")
			continue
		}
		to, ok := d.nextPoolWithoutSpare(v, l)
		if !ok {
			to = vm.Home
		}
		d.drainForMove(v, vm, to, l)
	}
	d.lendSpares(v, l)
}

func (d *planner) countLoans(v *waveView) loans {
	l := loans{remaining: make(map[string]int), lent: make(map[string]int)}
	for _, vm := range slices.Concat(v.pending, v.active) {
		l.remaining[vm.Pool]++
	}
	for _, vm := range v.lent {
		l.lent[vm.Pool]++
	}
	for _, vm := range v.moving {
		l.lent[vm.Maintenance.MoveTo]++
	}
	return l
}

// lendSpares lends VMs of the spare pools to further pools.
func (d *planner) lendSpares(v *waveView, l loans) {
	spares := d.fleet.spares
	for d.lentPools(v, l) < d.maxLentPools(v) {
		pool, ok := d.nextPoolWithoutSpare(v, l)
		if !ok {
			return
		}
		index := slices.IndexFunc(spares, func(vm *statemachine.VM) bool { return d.mayLend(v, vm) })
		if index < 0 {
			d.addWaveCondition(ReasonNoSpare, v.wave.ID, pool, "no spare VM can be lent now")
			return
		}
		d.drainForMove(v, spares[index], pool, l)
		spares = spares[index+1:]
	}
}

// mayLend reports whether the spare VM can be lent. One that the wave has yet
// to maintain is maintained first, so that it needs no return home for that.
func (d *planner) mayLend(v *waveView, vm *statemachine.VM) bool {
	id := v.wave.ID
	due := v.wave.Covers(vm) && vm.MaintainedBy != id && vm.SkippedBy != id
	return !due && d.remainingBudget.blockingReason(vm) == ""
}

// nextPoolWithoutSpare returns the first pool with VMs left and no spare VM.
func (d *planner) nextPoolWithoutSpare(v *waveView, l loans) (string, bool) {
	for _, pool := range v.wave.Pools {
		if d.capacity.keepSize[pool] && l.remaining[pool] > 0 && l.lent[pool] == 0 {
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
// until the first VM of the wave is back in service.
func (d *planner) maxLentPools(v *waveView) int {
	budgets, policy := 0, Policy{BudgetFraction: 1}
	for _, name := range v.wave.Pools {
		if pool, ok := d.state.Pools.Get(name); ok && d.capacity.keepSize[name] {
			budgets += pool.MaxUnavailable
			policy = strictest(policy, d.capacity.policies[name])
		}
	}
	return min(policy.lentPoolLimit(budgets), v.concurrencyLimit())
}

// drainForMove drains the VM for another pool, if the budgets allow it.
func (d *planner) drainForMove(v *waveView, vm *statemachine.VM, to string, l loans) {
	if reason := d.remainingBudget.blockingReason(vm); reason != "" {
		d.addWaveCondition(reason, v.wave.ID, vm.Pool, "a spare VM cannot be moved")
		return
	}
	d.remainingBudget.reserve(vm)
	d.shortage.removeLent(vm)
	l.lent[to]++
	d.addAction(Action{Kind: ActionDrain, Wave: v.wave.ID, VM: vm, MoveTo: to})
}

// returnUnusedLoans drains the VMs on loan that no unfinished wave uses and no
// pool needs, to move them home.
func (d *planner) returnUnusedLoans(unfinished []*statemachine.Wave) {
	for _, vm := range d.fleet.lentInService {
		used := slices.ContainsFunc(unfinished, func(w *statemachine.Wave) bool { return slices.Contains(w.Pools, vm.Pool) })
		if !used && !d.stillNeeded(vm) && d.remainingBudget.blockingReason(vm) == "" {
			d.remainingBudget.reserve(vm)
			d.shortage.removeLent(vm)
			d.addAction(Action{Kind: ActionDrain, VM: vm, MoveTo: vm.Home})
		}
	}
}
