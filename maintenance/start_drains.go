package maintenance

import (
	"cmp"
	"slices"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// startDrains drains as many of the pending VMs as the wave's width, the
// budgets and the pools' capacity allow.
func (d *planner) startDrains(v *waveView) {
	free := v.width() - len(v.active)
	refused := make(map[string]Reason)
	for _, vm := range d.order(v) {
		if free <= 0 {
			d.waitWidth(v)
			return
		}
		reason := d.refuse(vm)
		if reason != "" {
			refused[vm.Pool] = reason
			continue
		}
		d.room.take(vm)
		d.act(Action{Kind: ActionDrain, Wave: v.wave.ID, VM: vm})
		free--
	}
	d.waitRefused(v, refused)
}

// order puts the pending VMs in the order of their drains: spare VMs first,
// since the canary among them carries no work, and a pool whose policy says
// so by availability zone.
func (d *planner) order(v *waveView) []*statemachine.VM {
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

// compareBool puts false before true.
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

// refuse returns why the VM may not drain now, or "".
func (d *planner) refuse(vm *statemachine.VM) Reason {
	if reason := d.room.refuse(vm); reason != "" {
		return reason
	}
	if d.room.serving[vm.Pool]-1 < d.capacity.need[vm.Pool] {
		return ReasonCapacity
	}
	return ""
}

func (d *planner) waitWidth(v *waveView) {
	if v.done == 0 {
		d.waitWave(ReasonCanary, v.wave.ID, "", "the first VM is not back in service yet")
		return
	}
	d.waitWave(ReasonConcurrencyLimit, v.wave.ID, "", "")
}

func (d *planner) waitRefused(v *waveView, refused map[string]Reason) {
	for _, pool := range v.wave.Pools {
		if reason, ok := refused[pool]; ok {
			d.waitWave(reason, v.wave.ID, pool, "")
		}
	}
}
