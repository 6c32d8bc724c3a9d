package fleetentry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// heartbeat tells the entries that there is an owner.
func (o *Owner) heartbeat(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), heartbeatEvery, func(context.Context) {
		self := o.self(time.Now(), false)
		// While the store is away, one waiting heartbeat is as good as many.
		if o.journal.Pending() < maxWaitingEntries {
			o.journal.Put(0, []fleet.Record{ledger.OwnerRecord(self)})
		}
	})
}

// Release ends the term so that another entry can claim the fleet at once.
func (o *Owner) Release(ctx context.Context) {
	o.journal.Put(0, []fleet.Record{ledger.OwnerRecord(o.self(time.Now(), true))})
	for ctx.Err() == nil && !o.journal.Fenced() && o.journal.Pending() > 0 {
		sleep(ctx, planPause)
	}
}

func (o *Owner) self(now time.Time, released bool) ledger.Owner {
	return ledger.Owner{Token: o.token, Node: o.node, Released: released, Aside: o.follower.Aside(), AtMillis: now.UnixMilli()}
}
