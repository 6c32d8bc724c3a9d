package placement

import (
	"sync/atomic"
	"time"
)

// Target is a VM that tasks can be placed on.
type Target struct {
	ID               string
	Address          string
	Pool             string
	AvailabilityZone string
	Rack             string
	Slots            int

	// draining is set if the target must take no new work.
	draining atomic.Bool
	// cordoned is set while the control state keeps the target out of service.
	cordoned atomic.Bool
	// confirmedUS is when the target was last known to be live, in Unix
	// microseconds.
	confirmedUS atomic.Int64
	// fullUS is when the target last refused a slot, in Unix microseconds.
	fullUS atomic.Int64
	// free is the number of free slots that the target last reported.
	free   atomic.Int64
	health health
}

const (
	// ConfirmationTTL is how long a target may take new work after it was last
	// confirmed to be live.
	ConfirmationTTL = 3 * time.Second
	// fullBackoff is the delay before the next slot request after a refusal.
	fullBackoff = 20 * time.Millisecond
)

// usable reports whether the target may take new work.
func (t *Target) usable(now time.Time) bool {
	return t.inService(now) && !t.health.ejected(now)
}

// inService reports whether the target is live and should take work.
func (t *Target) inService(now time.Time) bool {
	return !t.draining.Load() && !t.cordoned.Load() && now.UnixMicro()-t.confirmedUS.Load() <= ConfirmationTTL.Microseconds()
}

// recentlyFull reports whether the target has just refused a slot.
func (t *Target) recentlyFull(now time.Time) bool {
	return now.UnixMicro()-t.fullUS.Load() < fullBackoff.Microseconds()
}

// confirm records that the target is live.
func (t *Target) confirm(now time.Time) {
	t.confirmedUS.Store(now.UnixMicro())
}

// NewTarget returns a confirmed target, for tests of packages that use a
// Placer.
func NewTarget(id, pool string, now time.Time) *Target {
	t := &Target{ID: id, Pool: pool}
	t.confirm(now)
	return t
}
