package quarantine

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/verdict"
)

// PlanCommands returns the commands that are due: the release of VMs whose
// quarantine has expired, and the quarantine of the suspects, the most probable
// first, as far as the disruption budgets allow.
func PlanCommands(s *statemachine.State, suspects []verdict.Suspect, now time.Time) []statemachine.Command {
	commands := dueReleases(s, now)
	plannedByPool, plannedByZone := make(map[string]int), make(map[string]int)
	for _, suspect := range suspects {
		vm, ok := s.VMs.Get(suspect.Target)
		if !ok || !vm.Available() {
			continue
		}
		if s.RemainingPoolBudget(vm.Pool) <= plannedByPool[vm.Pool] || s.RemainingZoneBudget(vm.AvailabilityZone) <= plannedByZone[vm.AvailabilityZone] {
			continue
		}
		plannedByPool[vm.Pool]++
		plannedByZone[vm.AvailabilityZone]++
		commands = append(commands, newQuarantine(vm, suspect))
	}
	return commands
}

func newQuarantine(vm *statemachine.VM, suspect verdict.Suspect) *statemachine.VMQuarantine {
	return &statemachine.VMQuarantine{
		VM: vm.ID, Pool: vm.Pool, Expected: vm.Version, Cause: statemachine.QuarantineJobFailures,
		Message: fmt.Sprintf("%d jobs have failed on it since its latest success", suspect.FailedJobs),
	}
}

func dueReleases(s *statemachine.State, now time.Time) []statemachine.Command {
	var commands []statemachine.Command
	for id := range s.Quarantined.All() {
		vm, ok := s.VMs.Get(id)
		if ok && vm.Quarantine != nil && vm.Quarantine.Expired(now) {
			commands = append(commands, &statemachine.VMRelease{VM: id, Expected: vm.Version})
		}
	}
	return commands
}
