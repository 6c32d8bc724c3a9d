package statemachine

// Step is the phase of a VM's maintenance.
type Step string

const (
	// StepServing means that the VM is not under maintenance.
	StepServing Step = ""
	// StepDraining means that the VM takes no new work and finishes its tasks.
	StepDraining Step = "draining"
	// StepRebooting means that the VM was observed without tasks and is restarted.
	// It ends once the VM is confirmed healthy.
	StepRebooting Step = "rebooting"
)

// Condition is the health of a VM.
type Condition string

const (
	// ConditionHealthy means that no fault of the VM is known.
	ConditionHealthy Condition = ""
	// ConditionFailed means that the platform reports the VM as lost.
	ConditionFailed Condition = "failed"
	// ConditionUnconfirmed means that the VM is missing from the platform's
	// list.
	ConditionUnconfirmed Condition = "unconfirmed"
)

// Maintenance is the step that a VM is in. It is zero while the VM is in
// service.
type Maintenance struct {
	Step Step `json:"step,omitempty"`
	// Wave is the wave that the step belongs to, or empty if an operator's.
	Wave string `json:"wave,omitempty"`
	// MoveTo is the pool that the VM joins once drained, or empty.
	MoveTo string `json:"move_to,omitempty"`
	// SinceMS is the writer's wall clock at the start of the drain, in Unix
	// milliseconds.
	SinceMS int64 `json:"since_ms,omitempty"`
}
