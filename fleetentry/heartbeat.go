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
func (o *Leader) heartbeat(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), heartbeatEvery, func(context.Context) {
		self := o.self(time.Now(), false)
		// While the store is away, one waiting heartbeat is as good as many.
		if o.journal.Pending() < maxWaitingEntries {
			o.journal.Enqueue(0, []fleet.Record{ledger.LeaderRecord(self)})
		}
	})
}

// Resign ends the term so that another entry can claim the fleet at once.
func (o *Leader) Resign(ctx context.Context) {
	o.journal.Enqueue(0, []fleet.Record{ledger.LeaderRecord(o.self(time.Now(), true))})
	for ctx.Err() == nil && !o.journal.Fenced() && o.journal.Pending() > 0 {
		sleep(ctx, planPause)
	}
}

func (o *Leader) self(now time.Time, released bool) ledger.Leader {
	return ledger.Leader{FencingToken: o.token, Node: o.node, Resigned: released, AlternateStreams: o.follower.AlternateStreams(), AtMillis: now.UnixMilli()}
}
