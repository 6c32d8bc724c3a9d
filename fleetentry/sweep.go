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
func (o *Leader) sweep(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), sweepEvery, func(ctx context.Context) {
		ended := o.endedBefore(time.Now().Add(-o.keepState - sweepMargin))
		if len(ended) == 0 || !o.journal.LeaderLeaseValid(time.Now()) {
			return
		}
		var own []fleet.Record
		var entries [len(jobStreams)][]fleet.Record
		for _, job := range ended {
			dropped, result := ledger.JobTombstones(job.id)
			for i := range entries {
				if job.in.Has(i) {
					entries[i] = append(entries[i], dropped...)
				}
			}
			own = append(own, result)
		}
		if err := o.drop(ctx, entries); err != nil {
			o.log.Info("old jobs could not be forgotten", "jobs", len(ended), "error", err)
			return
		}
		o.journal.Enqueue(0, own)
		o.mu.Lock()
		for _, job := range ended {
			o.sched.RemoveFinishedJob(job.id)
		}
		o.mu.Unlock()
		o.log.Info("old jobs are forgotten", "jobs", len(ended))
	})
}

// drop appends the records that forget jobs to the streams that hold them.
func (o *Leader) drop(ctx context.Context, entries [len(jobStreams)][]fleet.Record) error {
	for i, records := range entries {
		if len(records) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, mostPatience)
		_, _, err := o.store.Append(callCtx, jobStreams[i], records, fleet.AppendOptions{})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// endedJob is a job to forget and the entries' streams that hold it.
type endedJob struct {
	id string
	in ledger.StreamSet
}

func (o *Leader) endedBefore(limit time.Time) []endedJob {
	var out []endedJob
	o.follower.Read(func(v *ledger.View) {
		for id, j := range v.Jobs {
			if j.FinishedAtMillis > 0 && j.FinishedAtMillis < limit.UnixMilli() && len(out) < maxSwept {
				out = append(out, endedJob{id: id, in: j.Streams})
			}
		}
	})
	return out
}
