package fleet

import "time"

// Wave is an operator's order to maintain VMs.
type Wave struct {
	Number int64
	VMs    []string
	// MaxDuration is how long the whole wave may take from its publication.
	MaxDuration time.Duration
	// MaxUnavailable is how many of its VMs may be down for maintenance at once.
	MaxUnavailable int
}
