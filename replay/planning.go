package replay

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/maintenance"
	"github.com/anvilcourse/anvilcourse/placement"
)

// MaintenancePlan asks for the next steps of the waves, by the control state and by
// what was seen of the VMs.
type MaintenancePlan struct {
	// AtMS is the time of the decision in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// ListedAtMS is when the VM list was last read, in Unix milliseconds.
	ListedAtMS int64 `json:"listed_at_ms"`
	// RequiredVMs is the number of VMs that each pool needs.
	RequiredVMs map[string]int `json:"need,omitempty"`
	// VMs is what was seen of the VMs under maintenance.
	VMs map[string]ObservedVM `json:"vms,omitempty"`
	// Outcomes are the actions and then the conditions, one line each.
	Outcomes []string `json:"outcomes"`
}

// ObservedVM is what was seen of a VM in its present step. Times are in Unix
// milliseconds, or 0 for never.
type ObservedVM struct {
	CordonedAtMS     int64          `json:"drained_at_ms,omitempty"`
	TasksQueriedAtMS int64          `json:"tasks_asked_at_ms,omitempty"`
	HealthyAtMS      int64          `json:"healthy_at_ms,omitempty"`
	Running          []ObservedTask `json:"running,omitempty"`
}

// ObservedTask is a task that was seen to run.
type ObservedTask struct {
	Task           string `json:"task"`
	StartedAtMS    int64  `json:"started_at_ms"`
	Checkpointable bool   `json:"checkpointable,omitempty"`
}

// timeOf is the zero time for 0.
func timeOf(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func (s ObservedVM) observation() maintenance.VMObservation {
	out := maintenance.VMObservation{
		CordonedAt: timeOf(s.CordonedAtMS), TasksQueriedAt: timeOf(s.TasksQueriedAtMS), HealthyAt: timeOf(s.HealthyAtMS),
	}
	for _, run := range s.Running {
		out.Running = append(out.Running, maintenance.RunningTask{
			ID: run.Task, StartedAt: timeOf(run.StartedAtMS), Checkpointable: run.Checkpointable,
		})
	}
	return out
}

func (p *Player) plan(step MaintenancePlan) []string {
	observed := maintenance.Observation{
		ListedAt: timeOf(step.ListedAtMS), RequiredVMs: step.RequiredVMs, VMs: make(map[string]maintenance.VMObservation),
	}
	for id, seen := range step.VMs {
		observed.VMs[id] = seen.observation()
	}
	plan := maintenance.Decide(p.State(ControlStream), observed, maintenance.DefaultParams(placement.LeaseTTL), timeOf(step.AtMS))
	var out []string
	for _, a := range plan.Actions {
		out = append(out, describeAction(a))
	}
	for _, c := range plan.Conditions {
		out = append(out, fmt.Sprintf("wait %s wave=%s pool=%s vm=%s", c.Reason, c.Wave, c.Pool, c.VM))
	}
	return out
}

func describeAction(a maintenance.Action) string {
	vm := ""
	if a.VM != nil {
		vm = a.VM.ID
	}
	return fmt.Sprintf("%s wave=%s vm=%s to=%s task=%s", a.Kind, a.Wave, vm, a.MoveTo, a.Task)
}
