package settings

// Policies switches on what an entry decides under overload. Each is off unless the
// settings name it.
type Policies struct {
	// Entitlement limits what a team's surge may claim of a full fleet to what the
	// manifest entitles the team to.
	Entitlement bool `json:"entitlement"`
	// Preemption stops checkpointing tasks for more urgent ones.
	Preemption bool `json:"preemption"`
	// Consolidation moves checkpointing tasks together to free VMs for other pools.
	Consolidation bool `json:"consolidation"`
	// Lookahead places tasks by what waits and by what will end soon.
	Lookahead bool `json:"lookahead"`
	// StoredVMOrders stores each order for a VM before it is sent, so that the next leader
	// knows which VMs it may move at once.
	StoredVMOrders bool `json:"stored_vm_orders"`
}
