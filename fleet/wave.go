package fleet

import "time"

// Wave is an operator's order to maintain VMs.
type Wave struct {
	Number int64
	VMs    []string
	// Within is how long the whole wave may take from its publication.
	Within time.Duration
	// MaxDown is how many of its VMs may be down for maintenance at once.
	MaxDown int
}
