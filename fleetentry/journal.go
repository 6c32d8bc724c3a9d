package fleetentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/bothclocks"
	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// journalPause lets what is decided within it share an append.
	journalPause = 6 * time.Millisecond
	// journalRetry is the pause before the store is tried again.
	journalRetry = 100 * time.Millisecond
	// maxJournalRecords bounds one append.
	maxJournalRecords = 1500
	// authority is for how long after its last stored append an owner may give
	// orders and extend leases. The store may be gone for it alone, and another
	// entry may have taken over.
	authority = 2500 * time.Millisecond
	// vmAuthority is the same for orders on VMs, which no fence stops: it ends
	// before another entry can have claimed.
	vmAuthority = 750 * time.Millisecond
)

// Journal appends the owner's records in order under its token.
type Journal struct {
	store Store
	token int64
	log   hclog.Logger
	// stored runs after each entry has been stored, with its number.
	stored func(numbers []int64)

	mu     sync.Mutex
	queue  []journalEntry
	wake   chan struct{}
	fenced atomic.Bool
	// provenAt is when the last append was sent that the store took.
	provenAt atomic.Pointer[time.Time]
	sequence int64
	// patience is used by Run alone.
	patience appendPatience
	pending  atomic.Int64
}

type journalEntry struct {
	number  int64
	records []fleet.Record
}

// NewJournal returns the journal of the owner with the token.
func NewJournal(store Store, token int64, log hclog.Logger, stored func(numbers []int64)) *Journal {
	return &Journal{store: store, token: token, log: log, stored: stored, wake: make(chan struct{}, 1)}
}

// Open fences earlier owners: it stores the first record under the token.
func (j *Journal) Open(ctx context.Context, record fleet.Record) (offset int64, err error) {
	sent := time.Now()
	j.sequence = 1
	first, _, err := j.store.Append(ctx, ledgerStream, []fleet.Record{record}, j.terms())
	if err == nil {
		j.provenAt.Store(&sent)
	}
	return first, err
}

func (j *Journal) terms() fleet.AppendOptions {
	return fleet.AppendOptions{Writer: ownerWriter, FencingToken: j.token, Sequence: j.sequence}
}

// Enqueue adds records to those to be stored. Number 0 waits for nothing.
func (j *Journal) Enqueue(number int64, records []fleet.Record) {
	j.mu.Lock()
	j.queue = append(j.queue, journalEntry{number: number, records: records})
	j.pending.Add(1)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// LeaderLeaseValid reports whether the owner may still give orders.
func (j *Journal) LeaderLeaseValid(now time.Time) bool {
	at := j.provenAt.Load()
	return at != nil && !j.fenced.Load() && bothclocks.Most(now, *at) < authority
}

// LeaderLeaseValidForVMs reports whether the owner may still give orders on VMs.
func (j *Journal) LeaderLeaseValidForVMs(now time.Time) bool {
	at := j.provenAt.Load()
	return at != nil && !j.fenced.Load() && bothclocks.Most(now, *at) < vmAuthority
}

// Pending returns how many entries wait to be stored.
func (j *Journal) Pending() int64 { return j.pending.Load() }

// Fenced reports whether a later owner has taken over.
func (j *Journal) Fenced() bool { return j.fenced.Load() }

// Run stores what is put until the context ends or a later owner takes over.
func (j *Journal) Run(ctx context.Context) {
	for ctx.Err() == nil && !j.Fenced() {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		sleep(ctx, journalPause)
		for ctx.Err() == nil && !j.Fenced() {
			numbers, records := j.next()
			if len(numbers) == 0 {
				break
			}
			if !j.write(ctx, records) {
				return
			}
			j.stored(numbers)
			j.pending.Add(-int64(len(numbers)))
		}
	}
}

// next takes what is to be stored together.
func (j *Journal) next() (numbers []int64, records []fleet.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	taken := 0
	for _, e := range j.queue {
		if taken > 0 && len(records)+len(e.records) > maxJournalRecords {
			break
		}
		numbers = append(numbers, e.number)
		records = append(records, e.records...)
		taken++
	}
	j.queue = j.queue[taken:]
	return numbers, records
}

// write appends until the store has taken the records. A repeat with the same
// sequence number is stored once.
func (j *Journal) write(ctx context.Context, records []fleet.Record) bool {
	if len(records) == 0 {
		return true
	}
	j.sequence++
	lost := false
	for ctx.Err() == nil {
		sent := time.Now()
		tryCtx, cancel := context.WithTimeout(ctx, j.patience.timeout())
		_, _, err := j.store.Append(tryCtx, ledgerStream, records, j.terms())
		cancel()
		j.patience.learn(time.Since(sent), err)
		if err == nil {
			j.provenAt.Store(&sent)
			if lost {
				j.log.Info("the store takes the owner's records again")
			}
			return true
		}
		switch provider.CodeOf(err) {
		case provider.CodeFenced, provider.CodeMismatch, provider.CodeInvalid:
			j.log.Warn("the owner's records are refused", "token", j.token, "error", err)
			j.fenced.Store(true)
			return false
		}
		if !lost {
			j.log.Warn("the store does not take the owner's records", "error", err)
		}
		lost = true
		sleep(ctx, journalRetry)
	}
	return false
}
