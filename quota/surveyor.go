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

// SurveyResult holds what runs on one VM.
type SurveyResult struct {
	VM string
	// QueriedAt is when the query was sent.
	QueriedAt time.Time
	// RunningByHolder is the number of running tasks by holder.
	RunningByHolder map[string]int
}

// Surveyor queries the VMs for their running tasks.
type Surveyor struct {
	vms     provider.VMs
	workers provider.Workers
	clock   clockwork.Clock
}

// NewSurveyor returns a surveyor of the platform's VMs.
func NewSurveyor(vms provider.VMs, workers provider.Workers, clock clockwork.Clock) *Surveyor {
	return &Surveyor{vms: vms, workers: workers, clock: clock}
}

// Survey queries every VM in the platform's list or the control state, except
// those that skip selects. It returns the IDs of all VMs and the results of
// those that responded. A VM that the platform lists as failed runs nothing.
func (s *Surveyor) Survey(ctx context.Context, state *statemachine.State, skip func(vm string) bool) ([]string, []SurveyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	queriedAt := s.clock.Now()
	list, err := s.vms.List(ctx)
	if err != nil {
		return nil, nil, err
	}
	surveyed := mergeVMs(list, state)
	ids := make([]string, 0, len(surveyed))
	results := make([]*SurveyResult, len(surveyed))
	var group errgroup.Group
	group.SetLimit(surveyParallel)
	for i, vm := range surveyed {
		ids = append(ids, vm.ID)
		if skip(vm.ID) {
			continue
		}
		if vm.State == provider.VMFailed {
			results[i] = &SurveyResult{VM: vm.ID, QueriedAt: queriedAt}
			continue
		}
		group.Go(func() error {
			results[i] = s.queryVM(ctx, vm)
			return nil
		})
	}
	_ = group.Wait()
	return ids, successfulResults(results), nil
}

// mergeVMs merges the platform's list with the VMs of the control state.
func mergeVMs(list []provider.VMInfo, state *statemachine.State) []provider.VMInfo {
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

// queryVM returns what the VM runs, or nil if it does not respond.
func (s *Surveyor) queryVM(ctx context.Context, vm provider.VMInfo) *SurveyResult {
	queriedAt := s.clock.Now()
	list, err := s.workers.ListTasks(ctx, vm.Address)
	if err != nil {
		return nil
	}
	out := &SurveyResult{VM: vm.ID, QueriedAt: queriedAt, RunningByHolder: make(map[string]int)}
	for _, task := range list.Tasks {
		if task.State == provider.TaskRunning {
			out.RunningByHolder[task.Holder]++
		}
	}
	return out
}

func successfulResults(results []*SurveyResult) []SurveyResult {
	var out []SurveyResult
	for _, result := range results {
		if result != nil {
			out = append(out, *result)
		}
	}
	return out
}

// runningFor counts the running tasks that use the entry's allotment, either
// from the entry itself or under a loan.
func (r SurveyResult) runningFor(entry string) int {
	count := 0
	for holder, running := range r.RunningByHolder {
		lender, _, _ := strings.Cut(holder, loanSeparator)
		if lender == entry {
			count += running
		}
	}
	return count
}
