package quota

import (
	"context"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	surveyTimeout  = time.Second
	surveyParallel = 8
)

// SurveyResult is what one VM showed.
type SurveyResult struct {
	VM string
	// QueriedAt is when the VM was asked.
	QueriedAt time.Time
	// RunningByHolder counts the running tasks by holder.
	RunningByHolder map[string]int
}

// Surveyor asks the VMs what runs on them.
type Surveyor struct {
	vms     provider.VMs
	workers provider.Workers
	clock   clockwork.Clock
}

// NewSurveyor returns a surveyor of the platform's VMs.
func NewSurveyor(vms provider.VMs, workers provider.Workers, clock clockwork.Clock) *Surveyor {
	return &Surveyor{vms: vms, workers: workers, clock: clock}
}

// Survey asks every VM that the platform lists or the control state knows, but
// for those that skip names. It returns the IDs of all VMs and the findings of
// those that answered. A VM that the platform lists as failed runs nothing.
func (s *Surveyor) Survey(ctx context.Context, state *statemachine.State, skip func(vm string) bool) ([]string, []SurveyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	asked := s.clock.Now()
	list, err := s.vms.List(ctx)
	if err != nil {
		return nil, nil, err
	}
	targets := surveyTargets(list, state)
	ids := make([]string, 0, len(targets))
	findings := make([]*SurveyResult, len(targets))
	var group errgroup.Group
	group.SetLimit(surveyParallel)
	for i, vm := range targets {
		ids = append(ids, vm.ID)
		if skip(vm.ID) {
			continue
		}
		if vm.State == provider.VMFailed {
			findings[i] = &SurveyResult{VM: vm.ID, QueriedAt: asked}
			continue
		}
		group.Go(func() error {
			findings[i] = s.ask(ctx, vm)
			return nil
		})
	}
	_ = group.Wait()
	return ids, answered(findings), nil
}

// surveyTargets joins the platform's list with the VMs of the control state.
func surveyTargets(list []provider.VMInfo, state *statemachine.State) []provider.VMInfo {
	out := append([]provider.VMInfo{}, list...)
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
	}
	for id, vm := range state.VMs.All() {
		if !listed[id] {
			out = append(out, provider.VMInfo{ID: id, Address: vm.Address, State: provider.VMActive})
		}
	}
	return out
}

// ask returns what the VM runs, or nil if it does not answer.
func (s *Surveyor) ask(ctx context.Context, vm provider.VMInfo) *SurveyResult {
	asked := s.clock.Now()
	list, err := s.workers.ListTasks(ctx, vm.Address)
	if err != nil {
		return nil
	}
	out := &SurveyResult{VM: vm.ID, QueriedAt: asked, RunningByHolder: make(map[string]int)}
	for _, task := range list.Tasks {
		if task.State == provider.TaskRunning {
			out.RunningByHolder[task.Holder]++
		}
	}
	return out
}

func answered(findings []*SurveyResult) []SurveyResult {
	var out []SurveyResult
	for _, finding := range findings {
		if finding != nil {
			out = append(out, *finding)
		}
	}
	return out
}

// heldBy counts the running tasks that use the entry's allotment, be it by the
// entry itself or under a loan.
func (f SurveyResult) heldBy(entry string) int {
	count := 0
	for holder, running := range f.RunningByHolder {
		lender, _, _ := strings.Cut(holder, loanSeparator)
		if lender == entry {
			count += running
		}
	}
	return count
}
