package maintenance

import (
	"slices"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// waveView is the fleet as one wave sees it.
type waveView struct {
	wave *statemachine.Wave
	// pending are the VMs in service that the wave has yet to maintain.
	pending []*statemachine.VM
	// blocked are the VMs that it has yet to maintain and that have failed.
	blocked []*statemachine.VM
	// active are the VMs that it has under maintenance.
	active []*statemachine.VM
	// moving are the VMs that it drains for another pool.
	moving []*statemachine.VM
	// lent are the spare VMs in service in the wave's pools.
	lent []*statemachine.VM
	// failed are the VMs that failed during or after their maintenance.
	failed  []*statemachine.VM
	done    int
	skipped int
}

// fleetView is the fleet as one plan sees it.
type fleetView struct {
	waves map[string]*waveView
	// racks counts the VMs of each rack.
	racks map[string]rackCount
	// spares are the VMs in service at home in a spare pool.
	spares []*statemachine.VM
	// strays are lent VMs in service.
	strays []*statemachine.VM
	// changedMS is when the condition of a VM of the pool changed last, in Unix
	// milliseconds.
	changedMS map[string]int64
}

type rackCount struct {
	vms    int
	failed int
}

// lost reports whether the rack has failed as a whole.
func (r rackCount) lost() bool {
	return r.vms > 1 && r.failed == r.vms
}

// newFleetView sorts the VMs once for all open waves.
func newFleetView(s *statemachine.State, open []*statemachine.Wave) *fleetView {
	v := &fleetView{waves: make(map[string]*waveView), racks: make(map[string]rackCount), changedMS: make(map[string]int64)}
	for _, wave := range open {
		v.waves[wave.ID] = &waveView{wave: wave}
	}
	spare := make(map[string]bool)
	for name, pool := range s.Pools.All() {
		spare[name] = pool.Spare
	}
	for _, vm := range s.VMs.All() {
		rack := v.racks[vm.Rack]
		rack.vms++
		if vm.Condition != statemachine.ConditionHealthy {
			rack.failed++
		}
		v.racks[vm.Rack] = rack
		v.changedMS[vm.Pool] = max(v.changedMS[vm.Pool], vm.ConditionSinceMS)
		v.addSpare(vm, spare[vm.Pool])
		for _, view := range v.waves {
			view.add(vm)
		}
	}
	return v
}

func (v *fleetView) addSpare(vm *statemachine.VM, inSpare bool) {
	switch {
	case !vm.Available():
	case vm.Home != "":
		v.strays = append(v.strays, vm)
	case inSpare:
		v.spares = append(v.spares, vm)
	}
}

// add files the VM under what the wave has to do with it.
func (v *waveView) add(vm *statemachine.VM) {
	id := v.wave.ID
	step := vm.Maintenance
	touched := vm.MaintainedBy == id || step.Wave == id && step.MoveTo == ""
	if touched && vm.Condition != statemachine.ConditionHealthy {
		v.failed = append(v.failed, vm)
	}
	if vm.Home != "" && vm.Available() && slices.Contains(v.wave.Pools, vm.Pool) {
		v.lent = append(v.lent, vm)
	}
	switch {
	case step.Wave == id && step.Step != statemachine.StepServing:
		if step.MoveTo == "" {
			v.active = append(v.active, vm)
		} else {
			v.moving = append(v.moving, vm)
		}
	case !v.wave.Covers(vm):
	case vm.MaintainedBy == id:
		v.done++
	case vm.SkippedBy == id:
		v.skipped++
	case vm.Home != "":
		// A lent VM is maintained once it is home.
	case vm.Available():
		v.pending = append(v.pending, vm)
	default:
		v.blocked = append(v.blocked, vm)
	}
}

// width is the number of VMs that the wave may have under maintenance: one
// until the first is back in service, and twice as many after each doubling of
// the VMs that are.
func (v *waveView) width() int {
	width := 1
	for width <= v.done && width < v.wave.MaxParallel {
		width *= 2
	}
	return min(width, v.wave.MaxParallel)
}
