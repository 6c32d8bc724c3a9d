package quarantine

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/verdict"
)

// PlanCommands returns the records that are due: the releases of VMs whose
// quarantine is over, and the quarantine of the suspects, as far as the
// budgets have room. The surest suspect comes first.
func PlanCommands(s *statemachine.State, suspects []verdict.Suspect, now time.Time) []statemachine.Command {
	out := releases(s, now)
	pools, zones := make(map[string]int), make(map[string]int)
	for _, suspect := range suspects {
		vm, ok := s.VMs.Get(suspect.Target)
		if !ok || !vm.Available() {
			continue
		}
		if s.RemainingPoolBudget(vm.Pool) <= pools[vm.Pool] || s.RemainingZoneBudget(vm.AvailabilityZone) <= zones[vm.AvailabilityZone] {
			continue
		}
		pools[vm.Pool]++
		zones[vm.AvailabilityZone]++
		out = append(out, quarantineOf(vm, suspect))
	}
	return out
}

func quarantineOf(vm *statemachine.VM, suspect verdict.Suspect) *statemachine.VMQuarantine {
	return &statemachine.VMQuarantine{
		VM: vm.ID, Pool: vm.Pool, Expected: vm.Version, Cause: statemachine.QuarantineJobFailures,
		Message: fmt.Sprintf("%d jobs have failed on it since its latest success", suspect.FailedJobs),
	}
}

func releases(s *statemachine.State, now time.Time) []statemachine.Command {
	var out []statemachine.Command
	for id := range s.Quarantined.All() {
		vm, ok := s.VMs.Get(id)
		if ok && vm.Quarantine != nil && vm.Quarantine.Expired(now) {
			out = append(out, &statemachine.VMRelease{VM: id, Expected: vm.Version})
		}
	}
	return out
}
