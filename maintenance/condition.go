package maintenance

// Reason says why a wave waits.
type Reason string

const (
	// ReasonCanary means that the first VM is not back in service yet.
	ReasonCanary Reason = "canary"
	// ReasonConcurrencyLimit means that as many VMs as allowed are under maintenance.
	ReasonConcurrencyLimit Reason = "width"
	// ReasonPoolBudget means that the pool's budget has no room.
	ReasonPoolBudget Reason = "pool_budget"
	// ReasonZoneBudget means that the availability zone's budget has no room.
	ReasonZoneBudget Reason = "zone_budget"
	// ReasonCapacity means that the pool needs the VMs that it has.
	ReasonCapacity Reason = "capacity"
	// ReasonNoSpare means that no spare VM can be lent now.
	ReasonNoSpare Reason = "no_spare"
	// ReasonNotEmpty means that a drained VM still runs tasks, or was not seen
	// empty yet.
	ReasonNotEmpty Reason = "not_empty"
	// ReasonRestarting means that a restarted VM is not confirmed healthy yet.
	ReasonRestarting Reason = "restarting"
	// ReasonVMFailed means that a VM has failed or is unconfirmed.
	ReasonVMFailed Reason = "vm_failed"
	// ReasonQuarantined means that a VM is in quarantine as one that fails
	// everything, or by an operator.
	ReasonQuarantined Reason = "quarantined"
	// ReasonDeadline means that a VM was given up at its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonHealth means that VMs fail after their maintenance.
	ReasonHealth Reason = "health"
	// ReasonListStale means that the platform's VM list cannot be read.
	ReasonListStale Reason = "list_stale"
	// ReasonPaused means that the wave is paused.
	ReasonPaused Reason = "paused"
)

// Condition is one thing that a wave waits for.
type Condition struct {
	Reason Reason `json:"reason"`
	// Wave is the wave that waits, or empty for an operator's step.
	Wave string `json:"wave,omitempty"`
	Pool string `json:"pool,omitempty"`
	VM   string `json:"vm,omitempty"`
	// Message tells more, for people.
	Message string `json:"message,omitempty"`
}
