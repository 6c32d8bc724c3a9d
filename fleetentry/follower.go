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
	// ledgerPause is the pause of an entry that stands by between two reads of the
	// owner's stream, jobPause that of the entries' streams. Each read is priced, and
	// callers that ask for a job's state end the pause. The store keeps some twenty
	// seconds of history.
	ledgerPause = 220 * time.Millisecond
	jobPause    = 2 * time.Second
	// ownerFollowPause is the pause of the owner, for which new jobs wait.
	ownerFollowPause = 12 * time.Millisecond
	// followWait is how long a read waits for the first record. The owner's
	// heartbeat ends it earlier as a rule.
	followWait = 350 * time.Millisecond
	// ownerFollowWait is the same for the owner's read of new jobs: watches that
	// hear of nothing are found out that soon. ownerAsideWait is that of the streams
	// that are used on the store's slow days only.
	ownerFollowWait = 150 * time.Millisecond
	ownerAsideWait  = time.Second
	// readTimeout bounds a read beyond its wait: the store answers in 4 ms and
	// is up to sixty times slower on bad days.
	readTimeout = 1200 * time.Millisecond
	// newestTimeout bounds a read of all newest records: those of a busy minute are
	// some MB, and small VMs get little more than one a second.
	newestTimeout = 8 * time.Second
	// readRetry is the pause after a failed read.
	readRetry = 150 * time.Millisecond
)

// Follower keeps the state that the ledger's records reduce to. Entries and the
// owner write to streams of their own, so that neither waits for the other's
// appends.
type Follower struct {
	store  Store
	log    hclog.Logger
	ledger *followed
	jobs   [len(jobStreams)]*followed

	mu   sync.RWMutex
	view *ledger.View
	// heardAt is when the owner's newest record arrived.
	heardAt time.Time
	// listener gets the records of entries while this entry owns the fleet.
	listener func([]fleet.Record)
}

// NewFollower returns a follower that has read nothing.
func NewFollower(store Store, log hclog.Logger) *Follower {
	f := &Follower{
		store: store, log: log.Named("follower"), view: ledger.NewView(),
		ledger: newFollowed(ledgerStream, noJobs),
	}
	for i, name := range jobStreams {
		f.jobs[i] = newFollowed(name, i)
	}
	return f
}

// Run reads all streams until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, s := range f.streams() {
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
		wait, pause, due := f.rhythm(s)
		if due {
			again, err := f.read(ctx, s, wait)
			if again {
				continue
			}
			if err != nil {
				pause = readRetry
			}
		}
		s.pause(ctx, pause)
	}
}

// Refresh makes the state as new as the store can tell, as far as the context
// allows. The ledger tells how far a job is, the entries' streams whether it exists.
func (f *Follower) Refresh(ctx context.Context, known bool) {
	f.mu.RLock()
	streams := f.used()
	f.mu.RUnlock()
	if known {
		streams = streams[:1]
	}
	var group sync.WaitGroup
	for _, s := range streams {
		group.Add(1)
		go func() {
			defer group.Done()
			s.refresh(ctx)
		}()
	}
	group.Wait()
}

// ApplyLocal takes in records that this entry has appended to the stream of the index, so
// that it knows of them before it reads them.
func (f *Follower) ApplyLocal(index int, records []fleet.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.take(f.jobs[index], r)
	}
}

// read makes one read of the stream, which waits for a record up to wait, and
// applies what it brings. Another read should follow at once if again is true.
func (f *Follower) read(ctx context.Context, s *followed, wait time.Duration) (again bool, err error) {
	s.step.Lock()
	defer s.step.Unlock()
	sent := time.Now()
	wait = s.pace.wait(sent, wait)
	f.mu.RLock()
	next := s.next
	f.mu.RUnlock()
	var got fleet.Records
	fresh := next < 0
	if !fresh {
		tailCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		got, err = f.store.Tail(tailCtx, s.name, next, wait)
		cancel()
		// A stream that nobody has written to yet is not there.
		if code := provider.CodeOf(err); code == provider.CodeTrimmed || code == provider.CodeNotFound {
			f.log.Warn("history is gone, reading the newest records", "stream", s.name, "from", next)
			fresh = true
		}
	}
	if fresh {
		newestCtx, cancel := context.WithTimeout(ctx, newestTimeout)
		got, err = f.store.Newest(newestCtx, s.name)
		cancel()
	}
	if err != nil {
		f.failed(s, err)
		return false, err
	}
	all := got.Next >= got.End
	f.apply(s, got, sent, fresh, all)
	s.pace.took(time.Now(), wait, len(got.Items) > 0)
	return !all || s.pace.checks(), nil
}

func (f *Follower) failed(s *followed, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.lost {
		f.log.Warn("lost the store", "stream", s.name, "error", err)
	}
	s.lost = true
}

// apply takes in what a read sent at the time has brought; all tells that the store
// had no more.
func (f *Follower) apply(s *followed, got fleet.Records, sent time.Time, fresh, all bool) {
	f.mu.Lock()
	heard := false
	if fresh && s.next >= 0 {
		f.forget(s, got)
	}
	for _, r := range got.Items {
		heard = heard || ledger.WrittenByLeader(r)
		f.take(s, r)
	}
	s.next = max(s.next, got.Next)
	if all {
		s.readAt = sent
	}
	if heard || f.heardAt.IsZero() {
		f.heardAt = time.Now()
	}
	if s.lost {
		f.log.Info("the store is back", "stream", s.name)
	}
	s.lost = false
	listener := f.listener
	f.mu.Unlock()
	if listener != nil && s.index != noJobs && len(got.Items) > 0 {
		listener(got.Items)
	}
}

// take applies one record. The lock is held.
func (f *Follower) take(s *followed, r fleet.Record) {
	if err := f.view.Apply(r); err != nil {
		f.log.Warn("a record cannot be read", "stream", s.name, "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if id, kind := ledger.JobOf(r); kind != ledger.RecordOther {
		s.written = true
		f.view.AddStream(id, s.index)
	}
}

// forget drops the jobs that a whole read of an entries' stream no longer has.
func (f *Follower) forget(s *followed, got fleet.Records) {
	if s.index == noJobs {
		return
	}
	there := make(map[string]bool, len(got.Items))
	for _, r := range got.Items {
		if id, kind := ledger.JobOf(r); kind != ledger.RecordOther {
			there[id] = true
		}
	}
	for id, j := range f.view.Jobs {
		if !there[id] && j.Streams.Only(s.index) && j.Submission != nil && j.FinishedAtMillis > 0 {
			f.view.Remove(id)
		}
	}
}

// Read runs a function on the state.
func (f *Follower) Read(do func(v *ledger.View)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	do(f.view)
}

// SinceLeaderHeartbeat returns for how long the owner has not been heard, by both clocks.
func (f *Follower) SinceLeaderHeartbeat(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return bothclocks.Least(now, f.heardAt)
}

// SetListener hands new records to the listener from now on; nil ends that. It
// returns once no earlier listener runs.
func (f *Follower) SetListener(listener func([]fleet.Record)) {
	for _, s := range f.jobs {
		s.step.Lock()
		defer s.step.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listener = listener
	for _, s := range f.jobs {
		signal(s.demanded)
	}
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
