package fleet

import "time"

// Wave is an operator's request to maintain VMs.
type Wave struct {
	Number int64
	VMs    []string
	// MaxDuration limits the whole wave, counted from its publication.
	MaxDuration time.Duration
	// MaxUnavailable is how many of its VMs may be down for maintenance at once.
	MaxUnavailable int
}
