package fleetentry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

const (
	// sweepEvery is how often jobs that nobody asks for any more are forgotten.
	sweepEvery = 10 * time.Second
	// sweepMargin is added to the time for which callers may ask: the clocks of
	// two VMs differ.
	sweepMargin = 15 * time.Second
	// maxSwept bounds the jobs of one sweep.
	maxSwept = 500
)

// sweep forgets jobs some time after their end. Entries' records go first: a job
// whose result alone is left is not known to anyone.
func (o *Owner) sweep(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), sweepEvery, func(ctx context.Context) {
		ended := o.endedBefore(time.Now().Add(-o.keepState - sweepMargin))
		if len(ended) == 0 || !o.journal.Authorized(time.Now()) {
			return
		}
		var entries, own []fleet.Record
		for _, id := range ended {
			dropped, result := ledger.DropJob(id)
			entries = append(entries, dropped...)
			own = append(own, result)
		}
		callCtx, cancel := context.WithTimeout(ctx, mostPatience)
		_, _, err := o.store.Append(callCtx, jobStream, entries, fleet.AppendTerms{})
		cancel()
		if err != nil {
			o.log.Info("old jobs could not be forgotten", "jobs", len(ended), "error", err)
			return
		}
		o.journal.Put(0, own)
		o.mu.Lock()
		o.sched.Forget(ended)
		o.mu.Unlock()
		o.log.Info("old jobs are forgotten", "jobs", len(ended))
	})
}

func (o *Owner) endedBefore(limit time.Time) []string {
	var out []string
	o.follower.Read(func(v *ledger.View) {
		for id, j := range v.Jobs {
			if j.EndedAtMillis > 0 && j.EndedAtMillis < limit.UnixMilli() && len(out) < maxSwept {
				out = append(out, id)
			}
		}
	})
	return out
}
