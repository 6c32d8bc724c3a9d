package fleetentry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// allStreams returns all streams.
func (f *Follower) allStreams() []*followedStream {
	return append([]*followedStream{f.ledger}, f.jobs[:]...)
}

// activeStreams returns the streams that may hold new records: the leader's, the
// first of entries and the alternate streams that the leader advertises. The lock is
// held.
func (f *Follower) activeStreams() []*followedStream {
	out := []*followedStream{f.ledger}
	for _, s := range f.jobs {
		if f.isActive(s) {
			out = append(out, s)
		}
	}
	return out
}

// isActive reports whether the stream may hold new records. The lock is held.
func (f *Follower) isActive(s *followedStream) bool {
	return s.index <= 0 || f.listener != nil || f.view.Leader.AlternateStreams.Has(s.index)
}

// AlternateStreams returns the alternate streams that hold records of jobs.
func (f *Follower) AlternateStreams() ledger.StreamSet {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out ledger.StreamSet
	for _, s := range f.jobs[1:] {
		if s.hasJobRecords {
			out = out.With(s.index)
		}
	}
	return out
}

// readSchedule returns how long a read of the stream waits, the delay after it, and
// whether a read is due. Every stream is read at least once.
func (f *Follower) readSchedule(s *followedStream) (wait, delay time.Duration, due bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	switch {
	case s.index == notJobStream:
		return ledgerTailWait, ledgerReadInterval, true
	case f.listener == nil:
		return 0, jobReadInterval, s.next < 0 || f.isActive(s)
	case s.index == 0:
		return leaderTailWait, leaderReadInterval, true
	default:
		return leaderAlternateTailWait, leaderReadInterval, true
	}
}

// EmptyJobStreams returns the streams of entries that have no records yet.
func (f *Follower) EmptyJobStreams() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []string
	for _, s := range f.jobs {
		if s.next <= 0 {
			out = append(out, s.name)
		}
	}
	return out
}

// Staleness returns how old the state may be; ok is false before the first read.
func (f *Follower) Staleness(now time.Time) (age time.Duration, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return stalenessOf(now, f.activeStreams())
}

// LedgerStaleness returns how old the leader's stream may be.
func (f *Follower) LedgerStaleness(now time.Time) (age time.Duration, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return stalenessOf(now, []*followedStream{f.ledger})
}

func stalenessOf(now time.Time, streams []*followedStream) (age time.Duration, ok bool) {
	for _, s := range streams {
		if s.lastReadAt.IsZero() {
			return 0, false
		}
		age = max(age, elapsed.Max(now, s.lastReadAt))
	}
	return age, true
}

// CatchUp reads all streams up to their ends.
func (f *Follower) CatchUp(ctx context.Context) error { return f.catchUp(ctx, f.allStreams()) }

// JobReadsFailing reports whether the last read of an entries' stream in use has failed.
func (f *Follower) JobReadsFailing() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, s := range f.jobs {
		if s.failing && f.isActive(s) {
			return true
		}
	}
	return false
}

// CatchUpLedger reads the leader's stream up to its end.
func (f *Follower) CatchUpLedger(ctx context.Context) error {
	return f.catchUp(ctx, []*followedStream{f.ledger})
}

// CatchUpUnusedStreams reads the streams not known to be in use up to their ends.
func (f *Follower) CatchUpUnusedStreams(ctx context.Context) error {
	var unused []*followedStream
	f.mu.RLock()
	for _, s := range f.jobs {
		if !f.isActive(s) {
			unused = append(unused, s)
		}
	}
	f.mu.RUnlock()
	return f.catchUp(ctx, unused)
}

func (f *Follower) catchUp(ctx context.Context, streams []*followedStream) error {
	results := make(chan error, len(streams))
	for _, s := range streams {
		go func() {
			for {
				more, err := f.read(ctx, s, 0)
				if !more || err != nil {
					results <- err
					return
				}
			}
		}()
	}
	var lastErr error
	for range streams {
		if err := <-results; err != nil {
			lastErr = err
		}
	}
	return lastErr
}
