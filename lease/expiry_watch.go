package lease

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// expiryWatch detects the expiry of another holder's lease without reading the
// holder's clock.
type expiryWatch struct {
	ttl time.Duration
	// maxObservationGap is the maximum time between two observations of a
	// running process.
	maxObservationGap time.Duration

	started  bool
	epoch    uint64
	renewals uint64
	// waitingSince is the start of the wait: the latest observed renewal, or
	// the end of a pause in which none could be observed.
	waitingSince   Reading
	lastObservedAt Reading
}

// observe records the lease as of the reading.
func (w *expiryWatch) observe(lease statemachine.Lease, at Reading) {
	renewed := !w.started || lease.Epoch != w.epoch || lease.Renewals != w.renewals
	paused := w.started && at.maxElapsed(w.lastObservedAt) > w.maxObservationGap
	if renewed || paused {
		w.waitingSince = at
	}
	w.started, w.epoch, w.renewals, w.lastObservedAt = true, lease.Epoch, lease.Renewals, at
}

// expired reports whether the lease may be taken over. Age is the age of the
// observed state, since when it may have been renewed.
func (w *expiryWatch) expired(lease statemachine.Lease, at Reading, age time.Duration) bool {
	return w.started && (lease.Holder == "" || at.minElapsed(w.waitingSince)-age >= w.ttl)
}
