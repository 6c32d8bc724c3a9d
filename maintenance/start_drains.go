package maintenance

import (
	"cmp"
	"slices"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// startDrains drains as many of the pending VMs as the wave's concurrency
// limit, the budgets and the pools' capacity allow.
func (d *planner) startDrains(v *waveView) {
	free := v.concurrencyLimit() - len(v.active)
	blocked := make(map[string]Reason)
	for _, vm := range d.drainOrder(v) {
		if free <= 0 {
			d.reportConcurrencyLimit(v)
			return
		}
		reason := d.blockingReason(vm)
		if reason != "" {
			blocked[vm.Pool] = reason
			continue
		}
		d.remainingBudget.reserve(vm)
		d.addAction(Action{Kind: ActionDrain, Wave: v.wave.ID, VM: vm})
		free--
	}
	d.reportBlockedPools(v, blocked)
}

// drainOrder sorts the pending VMs by the order of their drains: spare VMs
// first, since the canary among them runs no work, and by availability zone in
// pools whose policy is zone by zone.
func (d *planner) drainOrder(v *waveView) []*statemachine.VM {
	out := slices.Clone(v.pending)
	slices.SortStableFunc(out, func(a, b *statemachine.VM) int {
		return cmp.Or(
			-compareBool(d.capacity.spare[a.Pool], d.capacity.spare[b.Pool]),
			cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(d.zoneKey(a), d.zoneKey(b)),
		)
	})
	return out
}

func (d *planner) zoneKey(vm *statemachine.VM) string {
	if d.capacity.policies[vm.Pool].ZoneByZone {
		return vm.AvailabilityZone
	}
	return ""
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// blockingReason returns why the VM may not drain now, or "".
func (d *planner) blockingReason(vm *statemachine.VM) Reason {
	if reason := d.remainingBudget.blockingReason(vm); reason != "" {
		return reason
	}
	if d.remainingBudget.inService[vm.Pool]-1 < d.capacity.required[vm.Pool] {
		return ReasonCapacity
	}
	return ""
}

func (d *planner) reportConcurrencyLimit(v *waveView) {
	if v.done == 0 {
		d.addWaveCondition(ReasonCanary, v.wave.ID, "", "the first VM is not back in service yet")
		return
	}
	d.addWaveCondition(ReasonConcurrencyLimit, v.wave.ID, "", "")
}

func (d *planner) reportBlockedPools(v *waveView, blocked map[string]Reason) {
	for _, pool := range v.wave.Pools {
		if reason, ok := blocked[pool]; ok {
			d.addWaveCondition(reason, v.wave.ID, pool, "")
		}
	}
}
