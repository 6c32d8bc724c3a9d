package fleet

// Pool is a service of the manifest: the workers that run its queues' tasks.
type Pool struct {
	Name string
	// EnforcesCapacity is true if its workers reject tasks that do not fit.
	EnforcesCapacity bool
	// Spare pools' VMs are powered off and cost nothing.
	Spare bool
	// HealthPath is the path of the workers' health check.
	HealthPath string
}
