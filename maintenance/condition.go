package maintenance

// Reason is why a wave waits.
type Reason string

const (
	// ReasonCanary means that the first VM is not back in service yet.
	ReasonCanary Reason = "canary"
	// ReasonConcurrencyLimit means that as many VMs as the wave allows are under
	// maintenance.
	ReasonConcurrencyLimit Reason = "width"
	// ReasonPoolBudget means that the pool's disruption budget is used up.
	ReasonPoolBudget Reason = "pool_budget"
	// ReasonZoneBudget means that the availability zone's budget is used up.
	ReasonZoneBudget Reason = "zone_budget"
	// ReasonCapacity means that the pool needs the VMs that it has in service.
	ReasonCapacity Reason = "capacity"
	// ReasonNoSpare means that no spare VM can be lent now.
	ReasonNoSpare Reason = "no_spare"
	// ReasonNotEmpty means that a draining VM still runs tasks, or is not
	// confirmed empty yet.
	ReasonNotEmpty Reason = "not_empty"
	// ReasonRestarting means that a restarted VM is not confirmed healthy yet.
	ReasonRestarting Reason = "restarting"
	// ReasonVMFailed means that a VM has failed or is unconfirmed.
	ReasonVMFailed Reason = "vm_failed"
	// ReasonQuarantined means that a VM is in quarantine because jobs that run
	// elsewhere fail on it, or by an operator.
	ReasonQuarantined Reason = "quarantined"
	// ReasonDeadline means that a VM was skipped because its drain timed out.
	ReasonDeadline Reason = "deadline"
	// ReasonHealth means that VMs fail after their maintenance.
	ReasonHealth Reason = "health"
	// ReasonListStale means that the platform's VM list cannot be read.
	ReasonListStale Reason = "list_stale"
	// ReasonPaused means that the wave is paused.
	ReasonPaused Reason = "paused"
)

// Condition is one reason for which a wave waits.
type Condition struct {
	Reason Reason `json:"reason"`
	// Wave is the wave that waits, or empty for an operator's step.
	Wave string `json:"wave,omitempty"`
	Pool string `json:"pool,omitempty"`
	VM   string `json:"vm,omitempty"`
	// Message is a human-readable detail.
	Message string `json:"message,omitempty"`
}
