package fleetentry

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/bothclocks"
	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// followPause is the pause between two reads of an entry that stands by: a
	// state may be that old when it is shown, and each read is priced.
	followPause = 90 * time.Millisecond
	// ownerFollowPause is the pause of the owner, for which new jobs wait.
	ownerFollowPause = 12 * time.Millisecond
	// followWait is how long a read waits for the first record. The owner's
	// heartbeat ends it earlier as a rule.
	followWait = 600 * time.Millisecond
	// readTimeout bounds a read beyond its wait: the store answers in 4 ms and
	// is up to sixty times slower on bad days.
	readTimeout = 1200 * time.Millisecond
	// readRetry is the pause after a failed read.
	readRetry = 150 * time.Millisecond
)

// Follower keeps the state that the ledger's records reduce to.
type Follower struct {
	store Store
	log   hclog.Logger

	mu   sync.RWMutex
	view *ledger.View
	// next is the offset to read from; -1 before the first read.
	next int64
	// readAt is when the last successful read was sent.
	readAt time.Time
	// heardAt is when the owner's newest record arrived.
	heardAt time.Time
	lost    bool
	// listener gets the records of entries while this entry owns the fleet.
	listener func([]fleet.Record)
	step     sync.Mutex
}

// NewFollower returns a follower that has read nothing.
func NewFollower(store Store, log hclog.Logger) *Follower {
	return &Follower{store: store, log: log.Named("follower"), view: ledger.NewView(), next: -1}
}

// Run reads the ledger until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.Step(ctx, followWait)
		pause := followPause
		f.mu.RLock()
		if f.listener != nil {
			pause = ownerFollowPause
		}
		f.mu.RUnlock()
		if err != nil {
			pause = readRetry
		}
		sleep(ctx, pause)
	}
}

// Step makes one read and applies what it brings.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	f.step.Lock()
	defer f.step.Unlock()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	f.mu.RLock()
	next := f.next
	f.mu.RUnlock()
	var got fleet.Records
	var err error
	if next < 0 {
		got, err = f.store.Newest(ctx, ledgerStream)
	} else {
		got, err = f.store.Tail(ctx, ledgerStream, next, wait)
		if provider.CodeOf(err) == provider.CodeTrimmed {
			got, err = f.store.Newest(ctx, ledgerStream)
			if err == nil {
				f.reset(got)
			}
		}
	}
	if err != nil {
		f.failed(err)
		return err
	}
	f.apply(got, sent)
	return nil
}

// reset drops jobs that the newest records no longer have.
func (f *Follower) reset(got fleet.Records) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Warn("history is gone, reading the newest records", "records", len(got.Items))
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.log.Warn("lost the store", "error", err)
	}
	f.lost = true
}

func (f *Follower) apply(got fleet.Records, sent time.Time) {
	f.mu.Lock()
	heard := false
	for _, r := range got.Items {
		heard = heard || ledger.ByOwner(r)
		if err := f.view.Apply(r); err != nil {
			f.log.Warn("a record of the ledger cannot be read", "key", r.Key, "offset", r.Offset, "error", err)
		}
	}
	f.next = max(f.next, got.Next)
	f.readAt = sent
	now := time.Now()
	if heard || f.heardAt.IsZero() {
		f.heardAt = now
	}
	if f.lost {
		f.log.Info("the store is back")
	}
	f.lost = false
	listener := f.listener
	f.mu.Unlock()
	if listener != nil && len(got.Items) > 0 {
		listener(got.Items)
	}
}

// Read runs a function on the state.
func (f *Follower) Read(do func(v *ledger.View)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	do(f.view)
}

// Age returns how old the state may be; ok is false before the first read.
func (f *Follower) Age(now time.Time) (age time.Duration, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.readAt.IsZero() {
		return 0, false
	}
	return bothclocks.Most(now, f.readAt), true
}

// Silence returns for how long the owner has not been heard, by both clocks.
func (f *Follower) Silence(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return bothclocks.Least(now, f.heardAt)
}

// Listen hands new records to the listener from now on; nil ends that. It
// returns once no earlier listener runs.
func (f *Follower) Listen(listener func([]fleet.Record)) {
	f.step.Lock()
	defer f.step.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listener = listener
}

// sleep waits for the span or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
