package maintenance

import (
	"slices"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// waveView groups the VMs of the fleet by their state in one wave.
type waveView struct {
	wave *statemachine.Wave
	// pending are the VMs in service that the wave has yet to maintain.
	pending []*statemachine.VM
	// blocked are the VMs out of service that it has yet to maintain.
	blocked []*statemachine.VM
	// active are the VMs that it has under maintenance.
	active []*statemachine.VM
	// moving are the VMs that it drains to move them to another pool.
	moving []*statemachine.VM
	// lent are the spare VMs in service in the wave's pools.
	lent []*statemachine.VM
	// failed are the VMs that failed during or after their maintenance.
	failed  []*statemachine.VM
	done    int
	skipped int
}

// fleetView is an index of the fleet for one plan.
type fleetView struct {
	waves map[string]*waveView
	// racks counts the VMs of each rack.
	racks map[string]rackCount
	// spares are the VMs in service in their own spare pool.
	spares []*statemachine.VM
	// lentInService are the VMs on loan in service.
	lentInService []*statemachine.VM
	// conditionChangedMS is when the condition of any VM of the pool last
	// changed, in Unix milliseconds.
	conditionChangedMS map[string]int64
}

type rackCount struct {
	vms    int
	failed int
}

// allFailed reports whether a rack of several VMs has failed as a whole.
func (r rackCount) allFailed() bool {
	return r.vms > 1 && r.failed == r.vms
}

// newFleetView indexes the VMs in one pass for all unfinished waves.
func newFleetView(s *statemachine.State, unfinished []*statemachine.Wave) *fleetView {
	v := &fleetView{waves: make(map[string]*waveView), racks: make(map[string]rackCount), conditionChangedMS: make(map[string]int64)}
	for _, wave := range unfinished {
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
		v.conditionChangedMS[vm.Pool] = max(v.conditionChangedMS[vm.Pool], vm.ConditionSinceMS)
		v.addSpareOrLent(vm, spare[vm.Pool])
		for _, view := range v.waves {
			view.add(vm)
		}
	}
	return v
}

func (v *fleetView) addSpareOrLent(vm *statemachine.VM, inSparePool bool) {
	switch {
	case !vm.Available():
	case vm.Home != "":
		v.lentInService = append(v.lentInService, vm)
	case inSparePool:
		v.spares = append(v.spares, vm)
	}
}

// add puts the VM into the groups for its state in the wave.
func (v *waveView) add(vm *statemachine.VM) {
	id := v.wave.ID
	step := vm.Maintenance
	maintained := vm.MaintainedBy == id || step.Wave == id && step.MoveTo == ""
	if maintained && vm.Condition != statemachine.ConditionHealthy {
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
		// A VM on loan is maintained once it is back in its home pool.
	case vm.Available():
		v.pending = append(v.pending, vm)
	default:
		v.blocked = append(v.blocked, vm)
	}
}

// concurrencyLimit is the number of VMs that the wave may have under
// maintenance: one until the first is back in service, and twice as many after
// each doubling of the VMs that are, up to MaxParallel.
func (v *waveView) concurrencyLimit() int {
	limit := 1
	for limit <= v.done && limit < v.wave.MaxParallel {
		limit *= 2
	}
	return min(limit, v.wave.MaxParallel)
}
