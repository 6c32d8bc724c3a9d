package lease

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// watch waits for another holder's lease to run out, without a look at the
// holder's clock.
type watch struct {
	ttl time.Duration
	// maxGap is the longest time between two looks of a process that runs.
	maxGap time.Duration

	started  bool
	epoch    uint64
	renewals uint64
	// since is the start of the wait: the latest sign of the holder, or the
	// end of a time in which none could be seen.
	since Reading
	last  Reading
}

// look notes the lease as seen at the reading.
func (w *watch) look(lease statemachine.Lease, at Reading) {
	renewed := !w.started || lease.Epoch != w.epoch || lease.Renewals != w.renewals
	paused := w.started && at.longest(w.last) > w.maxGap
	if renewed || paused {
		w.since = at
	}
	w.started, w.epoch, w.renewals, w.last = true, lease.Epoch, lease.Renewals, at
}

// lapsed reports whether the lease may be taken over. Age is the age of the
// state that was looked at: a renewal may have come since.
func (w *watch) lapsed(lease statemachine.Lease, at Reading, age time.Duration) bool {
	return w.started && (lease.Holder == "" || at.shortest(w.since)-age >= w.ttl)
}
