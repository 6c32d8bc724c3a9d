package fleetentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// journalBatchDelay lets decisions made within it share an append.
	journalBatchDelay = 6 * time.Millisecond
	// journalRetryDelay is the delay before an append is retried.
	journalRetryDelay = 100 * time.Millisecond
	// maxJournalRecords and maxJournalBytes bound one append: small VMs send some MB a
	// second, and the leader's lease ends unless appends are stored in time. The store takes
	// up to 2 MB at once.
	maxJournalRecords = 1500
	maxJournalBytes   = 256 << 10
	// leaderLeaseDuration is for how long after its last stored append a leader may
	// send requests and extend leases. The leader alone may have lost the store, and
	// another entry may have taken over.
	leaderLeaseDuration = 2500 * time.Millisecond
	// vmLeaderLeaseDuration is the same for VM operations, which no fencing token
	// stops: it ends before another entry can have claimed.
	vmLeaderLeaseDuration = 750 * time.Millisecond
)

// Journal appends the leader's records in order under its fencing token.
type Journal struct {
	store        Store
	fencingToken int64
	log          hclog.Logger
	metrics      *Metrics
	// onStored runs after each batch has been stored, with its number.
	onStored func(numbers []int64)

	mu     sync.Mutex
	queue  journalQueue
	wake   chan struct{}
	fenced atomic.Bool
	// lastAppendAt is when the last successful append was sent.
	lastAppendAt atomic.Pointer[time.Time]
	sequence     int64
	// timeout is used by Run alone.
	timeout appendTimeout
	pending atomic.Int64
	// incomplete holds the batches with such a record until their last part; it is used by
	// Run alone.
	incomplete map[int64]bool
}

// NewJournal returns the journal of the leader with the token.
func NewJournal(store Store, fencingToken int64, log hclog.Logger, metrics *Metrics, onStored func(numbers []int64)) *Journal {
	return &Journal{store: store, fencingToken: fencingToken, log: log, metrics: metrics, onStored: onStored, wake: make(chan struct{}, 1), incomplete: map[int64]bool{}}
}

// Open fences earlier leaders: it stores the first record under the token.
func (j *Journal) Open(ctx context.Context, record fleet.Record) (offset int64, err error) {
	sent := time.Now()
	j.sequence = 1
	first, _, err := j.store.Append(ctx, ledgerStream, []fleet.Record{record}, j.appendOptions())
	if err == nil {
		j.lastAppendAt.Store(&sent)
	}
	return first, err
}

func (j *Journal) appendOptions() fleet.AppendOptions {
	return fleet.AppendOptions{Writer: leaderWriter, FencingToken: j.fencingToken, Sequence: j.sequence}
}

// Enqueue adds records to be stored. Nothing waits for number 0.
func (j *Journal) Enqueue(number int64, records []fleet.Record) {
	j.mu.Lock()
	j.queue.add(number, records)
	j.pending.Add(1)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// LeaderLeaseValid reports whether the leader may still send requests.
func (j *Journal) LeaderLeaseValid(now time.Time) bool {
	at := j.lastAppendAt.Load()
	return at != nil && !j.fenced.Load() && elapsed.Max(now, *at) < leaderLeaseDuration
}

// VMLeaseLeft returns for how long the leader may still request VM operations; 0 or less if
// it may not.
func (j *Journal) VMLeaseLeft(now time.Time) time.Duration {
	at := j.lastAppendAt.Load()
	if at == nil || j.fenced.Load() {
		return 0
	}
	return vmLeaderLeaseDuration - elapsed.Max(now, *at)
}

// Pending returns how many batches wait to be stored.
func (j *Journal) Pending() int64 { return j.pending.Load() }

// nextAppend dequeues what shares the next append.
func (j *Journal) nextAppend() []journalPart {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.queue.next(maxJournalRecords, maxJournalBytes)
}

// Fenced reports whether a later leader has taken over.
func (j *Journal) Fenced() bool { return j.fenced.Load() }

// Run stores queued batches until the context ends or a later leader takes over.
func (j *Journal) Run(ctx context.Context) {
	for ctx.Err() == nil && !j.Fenced() {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		sleep(ctx, journalBatchDelay)
		for ctx.Err() == nil && !j.Fenced() {
			parts := j.nextAppend()
			if len(parts) == 0 {
				break
			}
			if !j.append(ctx, parts) {
				return
			}
		}
	}
}

// append stores the records as far as the store takes them, and reports the batches that are
// stored whole; ok is false once the term is over.
func (j *Journal) append(ctx context.Context, parts []journalPart) (ok bool) {
	refused, err := j.write(ctx, recordsIn(parts))
	if err != nil {
		return false
	}
	if refused {
		return j.appendEach(ctx, parts)
	}
	j.reportStored(parts)
	return true
}

// appendEach stores the records one by one, after the store has refused them together. A
// record that it refuses alone is given up: its batch is never reported, so that nothing of
// it is requested, and all others go on.
func (j *Journal) appendEach(ctx context.Context, parts []journalPart) (ok bool) {
	for i := range parts {
		part := &parts[i]
		for _, r := range part.records {
			refused, err := j.write(ctx, []fleet.Record{r})
			if err != nil {
				return false
			}
			if refused {
				j.log.Error("the store refuses a record", "token", j.fencingToken, "key", r.Key, "bytes", len(r.Value), "batch", part.number)
				j.metrics.Add("ledger_records_refused", 1)
				j.incomplete[part.number] = true
			}
		}
	}
	j.reportStored(parts)
	return true
}

// reportStored reports the batches whose last part is among the parts.
func (j *Journal) reportStored(parts []journalPart) {
	var numbers []int64
	for i := range parts {
		part := &parts[i]
		if !part.last {
			continue
		}
		j.pending.Add(-1)
		if !j.incomplete[part.number] {
			numbers = append(numbers, part.number)
		}
		delete(j.incomplete, part.number)
	}
	if len(numbers) > 0 {
		j.onStored(numbers)
	}
}

// write appends until the store has accepted the records, or refused them for what they are.
// A repeat with the same sequence number is stored once. An error ends the term.
func (j *Journal) write(ctx context.Context, records []fleet.Record) (refused bool, err error) {
	if len(records) == 0 {
		return false, nil
	}
	j.sequence++
	failing := false
	for ctx.Err() == nil {
		sent := time.Now()
		attemptCtx, cancel := context.WithTimeout(ctx, j.timeout.next())
		_, _, err := j.store.Append(attemptCtx, ledgerStream, records, j.appendOptions())
		cancel()
		j.timeout.observe(time.Since(sent), err)
		if err == nil {
			j.lastAppendAt.Store(&sent)
			if failing {
				j.log.Info("the store accepts the leader's records again")
			}
			return false, nil
		}
		switch provider.CodeOf(err) {
		case provider.CodeInvalid:
			j.sequence-- // Nothing was stored under it.
			return true, nil
		case provider.CodeFenced, provider.CodeMismatch:
			j.log.Warn("the store rejected the leader's records", "token", j.fencingToken, "error", err)
			j.fenced.Store(true)
			return false, err
		}
		if !failing {
			j.log.Warn("appending the leader's records failed", "error", err)
		}
		failing = true
		sleep(ctx, journalRetryDelay)
	}
	return false, ctx.Err()
}
