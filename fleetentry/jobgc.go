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
	// gcInterval is how often finished jobs past their retention are removed.
	gcInterval = 10 * time.Second
	// gcClockMargin is added to the retention of finished jobs: the clocks of two VMs
	// differ.
	gcClockMargin = 15 * time.Second
	// maxCollectedJobs bounds the jobs of one collection.
	maxCollectedJobs = 500
)

// collectFinishedJobs removes jobs some time after their end. Entries' records go
// first: a job with only a result left is unknown to all.
func (l *Leader) collectFinishedJobs(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), gcInterval, func(ctx context.Context) {
		finished := l.finishedBefore(time.Now().Add(-l.stateRetention - gcClockMargin))
		if len(finished) == 0 || !l.journal.LeaderLeaseValid(time.Now()) {
			return
		}
		var results []fleet.Record
		var byStream [len(jobStreams)][]fleet.Record
		for _, job := range finished {
			tombstones, result := ledger.JobTombstones(job.id)
			for i := range byStream {
				if job.streams.Has(i) {
					byStream[i] = append(byStream[i], tombstones...)
				}
			}
			results = append(results, result)
		}
		if err := l.appendTombstones(ctx, byStream); err != nil {
			l.log.Info("removing finished jobs failed", "jobs", len(finished), "error", err)
			return
		}
		l.journal.Enqueue(0, results)
		l.mu.Lock()
		for _, job := range finished {
			l.sched.RemoveFinishedJob(job.id)
		}
		l.mu.Unlock()
		l.log.Info("finished jobs removed", "jobs", len(finished))
	})
}

// appendTombstones appends jobs' tombstones to the streams that hold them.
func (l *Leader) appendTombstones(ctx context.Context, byStream [len(jobStreams)][]fleet.Record) error {
	for i, records := range byStream {
		if len(records) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
		_, _, err := l.store.Append(callCtx, jobStreams[i], records, fleet.AppendOptions{})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// finishedJob is a job to remove and the entries' streams that hold it.
type finishedJob struct {
	id      string
	streams ledger.StreamSet
}

func (l *Leader) finishedBefore(limit time.Time) []finishedJob {
	var out []finishedJob
	l.follower.Read(func(v *ledger.View) {
		for id, j := range v.Jobs {
			if j.FinishedAtMillis > 0 && j.FinishedAtMillis < limit.UnixMilli() && len(out) < maxCollectedJobs {
				out = append(out, finishedJob{id: id, streams: j.Streams})
			}
		}
	})
	return out
}
