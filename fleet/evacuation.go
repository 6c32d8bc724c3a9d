package fleet

// Evacuation is an operator's request that no task be started in an availability zone,
// or its withdrawal.
type Evacuation struct {
	AvailabilityZone string
	// Withdrawn is set once the request is taken back.
	Withdrawn bool
}
