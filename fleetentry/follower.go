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

// Follower keeps the state that the ledger's records reduce to. Entries and the
// owner write to streams of their own, so that neither waits for the other's
// appends.
type Follower struct {
	store   Store
	log     hclog.Logger
	streams [2]*followed

	mu   sync.RWMutex
	view *ledger.View
	// heardAt is when the owner's newest record arrived.
	heardAt time.Time
	// listener gets the records of entries while this entry owns the fleet.
	listener func([]fleet.Record)
}

// followed is one stream and how far it has been read.
type followed struct {
	name string
	// step lets one read at a time be under way.
	step sync.Mutex
	// next is the offset to read from; -1 before the first read.
	next int64
	// readAt is when the last successful read was sent.
	readAt time.Time
	lost   bool
}

// NewFollower returns a follower that has read nothing.
func NewFollower(store Store, log hclog.Logger) *Follower {
	return &Follower{
		store: store, log: log.Named("follower"), view: ledger.NewView(),
		streams: [2]*followed{{name: jobStream, next: -1}, {name: ledgerStream, next: -1}},
	}
}

// Run reads both streams until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, s := range f.streams {
		group.Add(1)
		go func() {
			defer group.Done()
			f.follow(ctx, s)
		}()
	}
	group.Wait()
}

func (f *Follower) follow(ctx context.Context, s *followed) {
	for ctx.Err() == nil {
		err := f.read(ctx, s, followWait)
		pause := followPause
		f.mu.RLock()
		if f.listener != nil && s.name == jobStream {
			pause = ownerFollowPause
		}
		f.mu.RUnlock()
		if err != nil {
			pause = readRetry
		}
		sleep(ctx, pause)
	}
}

// CatchUp reads both streams up to their ends.
func (f *Follower) CatchUp(ctx context.Context) error {
	results := make(chan error, len(f.streams))
	for _, s := range f.streams {
		go func() { results <- f.read(ctx, s, 0) }()
	}
	var failed error
	for range f.streams {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}

// read makes one read of the stream and applies what it brings.
func (f *Follower) read(ctx context.Context, s *followed, wait time.Duration) error {
	s.step.Lock()
	defer s.step.Unlock()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	f.mu.RLock()
	next := s.next
	f.mu.RUnlock()
	var got fleet.Records
	var err error
	fresh := next < 0
	if !fresh {
		got, err = f.store.Tail(ctx, s.name, next, wait)
		// A stream that nobody has written to yet is not there.
		if code := provider.CodeOf(err); code == provider.CodeTrimmed || code == provider.CodeNotFound {
			f.log.Warn("history is gone, reading the newest records", "stream", s.name, "from", next)
			fresh = true
		}
	}
	if fresh {
		got, err = f.store.Newest(ctx, s.name)
	}
	if err != nil {
		f.failed(s, err)
		return err
	}
	f.apply(s, got, sent, fresh)
	return nil
}

func (f *Follower) failed(s *followed, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.lost {
		f.log.Warn("lost the store", "stream", s.name, "error", err)
	}
	s.lost = true
}

func (f *Follower) apply(s *followed, got fleet.Records, sent time.Time, fresh bool) {
	f.mu.Lock()
	heard := false
	if fresh && s.next >= 0 {
		f.forget(s, got)
	}
	for _, r := range got.Items {
		heard = heard || ledger.ByOwner(r)
		if err := f.view.Apply(r); err != nil {
			f.log.Warn("a record of the ledger cannot be read", "key", r.Key, "offset", r.Offset, "error", err)
		}
	}
	s.next = max(s.next, got.Next)
	s.readAt = sent
	if heard || f.heardAt.IsZero() {
		f.heardAt = time.Now()
	}
	if s.lost {
		f.log.Info("the store is back", "stream", s.name)
	}
	s.lost = false
	listener := f.listener
	f.mu.Unlock()
	if listener != nil && s.name == jobStream && len(got.Items) > 0 {
		listener(got.Items)
	}
}

// forget drops the jobs that a whole read of the entries' stream no longer has.
func (f *Follower) forget(s *followed, got fleet.Records) {
	if s.name != jobStream {
		return
	}
	there := make(map[string]bool, len(got.Items))
	for _, r := range got.Items {
		if id, kind := ledger.JobOf(r); kind != ledger.RecordOther {
			there[id] = true
		}
	}
	for id, j := range f.view.Jobs {
		if !there[id] && j.Submission != nil && j.EndedAtMillis > 0 {
			f.view.Drop(id)
		}
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
	for _, s := range f.streams {
		if s.readAt.IsZero() {
			return 0, false
		}
		age = max(age, bothclocks.Most(now, s.readAt))
	}
	return age, true
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
	jobs := f.streams[0]
	jobs.step.Lock()
	defer jobs.step.Unlock()
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
