package fleetentry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// sendHeartbeats announces the leader to the entries.
func (l *Leader) sendHeartbeats(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), heartbeatInterval, func(context.Context) {
		status := l.status(time.Now(), false)
		// While the store is unavailable, one queued heartbeat is enough.
		if l.journal.Pending() < maxPendingBatches {
			l.journal.Enqueue(0, []fleet.Record{ledger.LeaderRecord(status)})
		}
	})
}

// Resign ends the term so that another entry can claim leadership at once.
func (l *Leader) Resign(ctx context.Context) {
	l.storeResignation(ctx, l.status(time.Now(), true))
}

func (l *Leader) storeResignation(ctx context.Context, status ledger.Leader) {
	l.journal.Enqueue(0, []fleet.Record{ledger.LeaderRecord(status)})
	for ctx.Err() == nil && !l.journal.Fenced() && l.journal.Pending() > 0 {
		sleep(ctx, planDelay)
	}
}

func (l *Leader) status(now time.Time, resigned bool) ledger.Leader {
	return ledger.Leader{FencingToken: l.fencingToken, LastToken: l.fencingToken + tokensPerTerm - 1, Node: l.node, Resigned: resigned, AlternateStreams: l.follower.AlternateStreams(),
		StoresVMOrders: l.config.Policies.StoredVMOrders, AtMillis: now.UnixMilli()}
}
