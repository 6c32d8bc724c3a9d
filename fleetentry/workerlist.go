package fleetentry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// workersTailWait is how long a read of the workers' reports waits: new workers
	// are needed soon, also while watches are stalled.
	workersTailWait = 250 * time.Millisecond
	// workersReadInterval is the delay between two reads.
	workersReadInterval = 100 * time.Millisecond
)

// workerList is the platform's list of workers.
type workerList struct {
	decoder Decoder
	log     hclog.Logger
	metrics *Metrics
	workers map[string]fleet.Worker
	next    int64
	stalls  stallDetector
}

func newWorkerList(decoder Decoder, log hclog.Logger, metrics *Metrics) *workerList {
	return &workerList{decoder: decoder, log: log, metrics: metrics, workers: map[string]fleet.Worker{}}
}

// apply applies the records of a read. One that cannot be decoded comes from another writer:
// it names no worker to use until the worker's own next report, and all others hold. Runs on
// that worker are kept.
func (l *workerList) apply(got fleet.Records) {
	for _, r := range got.Items {
		if len(r.Value) == 0 {
			delete(l.workers, r.Key)
			continue
		}
		w, err := l.decoder.Worker(r)
		if err != nil {
			l.log.Warn("cannot decode worker record", "worker", r.Key, "offset", r.Offset, "bytes", len(r.Value), "error", err)
			l.metrics.Add("worker_records_undecodable", 1)
			delete(l.workers, r.Key)
			continue
		}
		l.workers[r.Key] = w
	}
	l.next = got.Next
}

// watchWorkers follows the platform's list of workers.
func (l *Leader) watchWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		wait := l.workerList.stalls.wait(time.Now(), workersTailWait)
		callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		got, err := l.store.TailWorkers(callCtx, l.workerList.next, wait)
		if code := provider.CodeOf(err); code == provider.CodeTrimmed || code == provider.CodeNotFound {
			got, err = l.store.WorkerRecords(callCtx)
			if err == nil {
				clear(l.workerList.workers)
			}
		}
		cancel()
		if err != nil {
			l.log.Info("reading the list of workers failed", "error", err)
			sleep(ctx, readRetryDelay)
			continue
		}
		l.workerList.apply(got)
		l.workerList.stalls.observe(time.Now(), wait, len(got.Items) > 0)
		if l.workerList.stalls.needsCheck() {
			continue
		}
		l.mu.Lock()
		now := time.Now()
		l.sched.SetWorkers(l.workerList.workers, now)
		l.syncPollers(ctx)
		l.flush(now)
		l.mu.Unlock()
		l.wakePlanner()
		sleep(ctx, workersReadInterval)
	}
}
