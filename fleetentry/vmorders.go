package fleetentry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// vmOrders holds when the newest stored order for each VM was read, by this entry's clock:
// the clocks of VMs may be seconds apart.
type vmOrders map[string]time.Time

// apply notes the record of an order.
func (o vmOrders) apply(r fleet.Record, now time.Time) {
	if vm, ok := ledger.OrderedVM(r); ok {
		o[vm] = now
	}
}

// VMOrders returns when the newest order of any leader for each VM was read.
func (f *Follower) VMOrders() map[string]time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make(map[string]time.Time, len(f.vmOrders))
	for vm, at := range f.vmOrders {
		out[vm] = at
	}
	return out
}
