package fleet

// Pool is a service of the manifest: the workers that run its queues' tasks.
type Pool struct {
	Name string
	// EnforcesCapacity tells that its workers reject what does not fit.
	EnforcesCapacity bool
	// Spare pools' VMs are off and cost nothing.
	Spare bool
	// HealthPath is where a worker tells whether it considers itself healthy.
	HealthPath string
}
