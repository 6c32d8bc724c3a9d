package fleetentry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// vmOrders holds when the newest stored order for each VM was read, by this entry's clock:
// the clocks of VMs may be seconds apart. The time is zero for one that was read among all
// newest records, as at the start of the entry: it may be of any age.
type vmOrders map[string]time.Time

// apply notes the record of an order.
func (o vmOrders) apply(r fleet.Record, amongNewest bool, now time.Time) {
	vm, ok := ledger.OrderedVM(r)
	switch {
	case !ok:
	case amongNewest:
		o[vm] = time.Time{}
	default:
		o[vm] = now
	}
}

// VMOrders returns when the newest order of any leader for each VM was read, zero where that
// does not tell its age.
func (f *Follower) VMOrders() map[string]time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make(map[string]time.Time, len(f.vmOrders))
	for vm, at := range f.vmOrders {
		out[vm] = at
	}
	return out
}
