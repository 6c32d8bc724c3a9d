package fleetentry

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// ledgerReadInterval is a standby entry's delay between two reads of the leader's
	// stream, jobReadInterval that for the entries' streams. Each read is priced, and
	// clients that query a job's state end the delay. The store retains some twenty
	// seconds of history.
	ledgerReadInterval = 220 * time.Millisecond
	jobReadInterval    = 2 * time.Second
	// leaderReadInterval is the leader's delay, for which new jobs wait.
	leaderReadInterval = 12 * time.Millisecond
	// ledgerTailWait is how long a read waits for the first record. The leader's
	// heartbeat usually ends it earlier.
	ledgerTailWait = 350 * time.Millisecond
	// leaderTailWait is the same for the leader's read of new jobs: stalled watches
	// are detected that soon. leaderAlternateTailWait is that of the streams that are
	// used on the store's slow days only.
	leaderTailWait          = 150 * time.Millisecond
	leaderAlternateTailWait = time.Second
	// readTimeout bounds a read beyond its wait: the store responds in 4 ms and is up
	// to sixty times slower on bad days.
	readTimeout = 1200 * time.Millisecond
	// newestTimeout bounds a read of all newest records: those of a busy minute are
	// some MB, and small VMs get little more than 1 MB a second.
	newestTimeout = 8 * time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 150 * time.Millisecond
)

// Follower maintains the state that the ledger's records reduce to. Entries and the
// leader write to separate streams, so that neither waits for the other's appends.
type Follower struct {
	store  Store
	log    hclog.Logger
	ledger *followedStream
	jobs   [len(jobStreams)]*followedStream

	mu       sync.RWMutex
	view     *ledger.View
	vmOrders vmOrders
	// lastLeaderRecordAt is when the leader's newest record arrived.
	lastLeaderRecordAt time.Time
	// listener receives the records of entries while this entry leads.
	listener func([]fleet.Record)
}

// NewFollower returns a follower that has read nothing.
func NewFollower(store Store, log hclog.Logger) *Follower {
	f := &Follower{
		store: store, log: log.Named("follower"), view: ledger.NewView(), vmOrders: vmOrders{},
		ledger: newFollowedStream(ledgerStream, notJobStream),
	}
	for i, name := range jobStreams {
		f.jobs[i] = newFollowedStream(name, i)
	}
	return f
}

// Run reads all streams until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, s := range f.allStreams() {
		group.Add(1)
		go func() {
			defer group.Done()
			f.follow(ctx, s)
		}()
	}
	group.Wait()
}

func (f *Follower) follow(ctx context.Context, s *followedStream) {
	for ctx.Err() == nil {
		wait, delay, due := f.readSchedule(s)
		if due {
			more, err := f.read(ctx, s, wait)
			if more {
				continue
			}
			if err != nil {
				delay = readRetryDelay
			}
		}
		s.waitIdle(ctx, delay)
	}
}

// Refresh makes the state as new as the store can provide, as far as the context
// allows. The ledger holds a job's progress, the entries' streams whether it exists.
func (f *Follower) Refresh(ctx context.Context, known bool) {
	f.mu.RLock()
	streams := f.activeStreams()
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

// ApplyLocal applies records that this entry has appended to the stream of the index,
// before it reads them.
func (f *Follower) ApplyLocal(index int, records []fleet.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.applyRecord(f.jobs[index], r)
	}
}

// read makes one read of the stream, which waits for a record up to wait, and applies
// the result. Another read should follow at once if more is true.
func (f *Follower) read(ctx context.Context, s *followedStream, wait time.Duration) (more bool, err error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	sent := time.Now()
	wait = s.stalls.wait(sent, wait)
	f.mu.RLock()
	next := s.next
	f.mu.RUnlock()
	var got fleet.Records
	fresh := next < 0
	if !fresh {
		tailCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		got, err = f.store.Tail(tailCtx, s.name, next, wait)
		cancel()
		// A stream that has never been written does not exist.
		if code := provider.CodeOf(err); code == provider.CodeTrimmed || code == provider.CodeNotFound {
			f.log.Warn("history was trimmed, reading the newest records", "stream", s.name, "from", next)
			fresh = true
		}
	}
	if fresh {
		newestCtx, cancel := context.WithTimeout(ctx, newestTimeout)
		got, err = f.store.Newest(newestCtx, s.name)
		cancel()
	}
	if err != nil {
		f.recordReadFailure(s, err)
		return false, err
	}
	all := got.Next >= got.End
	f.applyRead(s, got, sent, fresh, all)
	s.stalls.observe(time.Now(), wait, len(got.Items) > 0)
	return !all || s.stalls.needsCheck(), nil
}

func (f *Follower) recordReadFailure(s *followedStream, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.failing {
		f.log.Warn("reading from the store failed", "stream", s.name, "error", err)
	}
	s.failing = true
}

// applyRead applies the result of a read sent at the time; all means that the store
// had no more records.
func (f *Follower) applyRead(s *followedStream, got fleet.Records, sent time.Time, fresh, all bool) {
	f.mu.Lock()
	fromLeader := false
	afterGap := !s.lastReadAt.IsZero() && elapsed.Max(sent, s.lastReadAt) > maxLedgerStaleness
	if fresh && s.next >= 0 {
		f.removeMissing(s, got)
	}
	for _, r := range got.Items {
		fromLeader = fromLeader || ledger.WrittenByLeader(r)
		f.applyRecord(s, r)
		f.vmOrders.apply(r, fresh, time.Now())
	}
	s.next = max(s.next, got.Next)
	if all {
		s.lastReadAt = sent
	}
	if fromLeader && !(afterGap && f.heartbeatIsOld(time.Now())) || f.lastLeaderRecordAt.IsZero() {
		f.lastLeaderRecordAt = time.Now()
	}
	if s.failing {
		f.log.Info("reading from the store works again", "stream", s.name)
	}
	s.failing = false
	listener := f.listener
	f.mu.Unlock()
	if listener != nil && s.index != notJobStream && len(got.Items) > 0 {
		listener(got.Items)
	}
}

// heartbeatIsOld reports whether the newest heartbeat was sent long before it was read. The
// first read after an outage of the store returns what the leader stored before it: that
// does not show that the leader goes on. The lock is held.
func (f *Follower) heartbeatIsOld(now time.Time) bool {
	return now.UnixMilli()-f.view.Leader.AtMillis > staleHeartbeatAge.Milliseconds()
}

// applyRecord applies one record. The lock is held.
func (f *Follower) applyRecord(s *followedStream, r fleet.Record) {
	if err := f.view.Apply(r); err != nil {
		f.log.Warn("cannot decode record", "stream", s.name, "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if id, kind := ledger.JobOf(r); kind != ledger.RecordOther {
		s.hasJobRecords = true
		f.view.AddStream(id, s.index)
	}
}

// removeMissing removes the jobs that a whole read of an entries' stream lacks.
func (f *Follower) removeMissing(s *followedStream, got fleet.Records) {
	if s.index == notJobStream {
		return
	}
	present := make(map[string]bool, len(got.Items))
	for _, r := range got.Items {
		if id, kind := ledger.JobOf(r); kind != ledger.RecordOther {
			present[id] = true
		}
	}
	for id, j := range f.view.Jobs {
		if !present[id] && j.Streams.Only(s.index) && j.Submission != nil && j.FinishedAtMillis > 0 {
			f.view.Remove(id)
		}
	}
}

// Read runs a function on the state.
func (f *Follower) Read(fn func(v *ledger.View)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.view)
}

// SinceLeaderHeartbeat returns the time since the leader's last record, the lesser of
// wall and monotonic clock.
func (f *Follower) SinceLeaderHeartbeat(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return elapsed.Min(now, f.lastLeaderRecordAt)
}

// SetListener passes new records to the listener from now on; nil ends that. It
// returns once no earlier listener runs.
func (f *Follower) SetListener(listener func([]fleet.Record)) {
	for _, s := range f.jobs {
		s.readMu.Lock()
		defer s.readMu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listener = listener
	for _, s := range f.jobs {
		signal(s.wake)
	}
}

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
