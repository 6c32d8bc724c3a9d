package fleetentry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// workersWait is how long a read of the workers' reports waits: new workers are
	// wanted soon, also while watches hear of nothing.
	workersWait = 250 * time.Millisecond
	// workersPause is the pause between two reads.
	workersPause = 100 * time.Millisecond
)

// workerList is the platform's list of workers.
type workerList struct {
	decoder Decoder
	log     hclog.Logger
	workers map[string]fleet.Worker
	next    int64
	pace    watchPace
}

func newWorkerList(decoder Decoder, log hclog.Logger) *workerList {
	return &workerList{decoder: decoder, log: log, workers: map[string]fleet.Worker{}}
}

// take applies the records of a read.
func (l *workerList) take(got fleet.Records) {
	for _, r := range got.Items {
		if len(r.Value) == 0 {
			delete(l.workers, r.Key)
			continue
		}
		w, err := l.decoder.Worker(r)
		if err != nil {
			l.log.Debug("a worker's record cannot be read", "worker", r.Key, "error", err)
			delete(l.workers, r.Key)
			continue
		}
		l.workers[r.Key] = w
	}
	l.next = got.Next
}

// watchWorkers follows the platform's list of workers.
func (o *Leader) watchWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		wait := o.listed.pace.wait(time.Now(), workersWait)
		callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		got, err := o.store.TailWorkers(callCtx, o.listed.next, wait)
		if code := provider.CodeOf(err); code == provider.CodeTrimmed || code == provider.CodeNotFound {
			got, err = o.store.WorkerRecords(callCtx)
			if err == nil {
				clear(o.listed.workers)
			}
		}
		cancel()
		if err != nil {
			o.log.Info("the list of workers cannot be read", "error", err)
			sleep(ctx, readRetry)
			continue
		}
		o.listed.take(got)
		o.listed.pace.took(time.Now(), wait, len(got.Items) > 0)
		if o.listed.pace.checks() {
			continue
		}
		o.mu.Lock()
		now := time.Now()
		o.sched.SetWorkers(o.listed.workers, now)
		o.followWorkers(ctx)
		o.flush(now)
		o.mu.Unlock()
		o.nudge()
		sleep(ctx, workersPause)
	}
}
