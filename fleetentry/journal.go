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
	// maxJournalRecords bounds one append.
	maxJournalRecords = 1500
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
	// onStored runs after each batch has been stored, with its number.
	onStored func(numbers []int64)

	mu     sync.Mutex
	queue  []journalBatch
	wake   chan struct{}
	fenced atomic.Bool
	// lastAppendAt is when the last successful append was sent.
	lastAppendAt atomic.Pointer[time.Time]
	sequence     int64
	// timeout is used by Run alone.
	timeout appendTimeout
	pending atomic.Int64
}

type journalBatch struct {
	number  int64
	records []fleet.Record
}

// NewJournal returns the journal of the leader with the token.
func NewJournal(store Store, fencingToken int64, log hclog.Logger, onStored func(numbers []int64)) *Journal {
	return &Journal{store: store, fencingToken: fencingToken, log: log, onStored: onStored, wake: make(chan struct{}, 1)}
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
	j.queue = append(j.queue, journalBatch{number: number, records: records})
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
			numbers, records := j.nextAppend()
			if len(numbers) == 0 {
				break
			}
			if !j.write(ctx, records) {
				return
			}
			j.onStored(numbers)
			j.pending.Add(-int64(len(numbers)))
		}
	}
}

// nextAppend dequeues the batches that share the next append.
func (j *Journal) nextAppend() (numbers []int64, records []fleet.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, batch := range j.queue {
		if count > 0 && len(records)+len(batch.records) > maxJournalRecords {
			break
		}
		numbers = append(numbers, batch.number)
		records = append(records, batch.records...)
		count++
	}
	j.queue = j.queue[count:]
	return numbers, records
}

// write appends until the store has accepted the records. A repeat with the same
// sequence number is stored once.
func (j *Journal) write(ctx context.Context, records []fleet.Record) bool {
	if len(records) == 0 {
		return true
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
			return true
		}
		switch provider.CodeOf(err) {
		case provider.CodeFenced, provider.CodeMismatch, provider.CodeInvalid:
			j.log.Warn("the store rejected the leader's records", "token", j.fencingToken, "error", err)
			j.fenced.Store(true)
			return false
		}
		if !failing {
			j.log.Warn("appending the leader's records failed", "error", err)
		}
		failing = true
		sleep(ctx, journalRetryDelay)
	}
	return false
}
