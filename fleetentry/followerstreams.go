package fleetentry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/bothclocks"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// streams returns all streams.
func (f *Follower) streams() []*followed { return append([]*followed{f.ledger}, f.jobs[:]...) }

// used returns the streams that may hold something new: the owner's, the first of
// entries and those of which the owner has told that entries write aside. The lock
// is held.
func (f *Follower) used() []*followed {
	out := []*followed{f.ledger}
	for _, s := range f.jobs {
		if f.inUse(s) {
			out = append(out, s)
		}
	}
	return out
}

// inUse reports whether the stream may hold something new. The lock is held.
func (f *Follower) inUse(s *followed) bool {
	return s.index <= 0 || f.listener != nil || f.view.Leader.AlternateStreams.Has(s.index)
}

// AlternateStreams returns the streams to which entries have written aside, as an owner knows.
func (f *Follower) AlternateStreams() ledger.StreamSet {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out ledger.StreamSet
	for _, s := range f.jobs[1:] {
		if s.written {
			out = out.With(s.index)
		}
	}
	return out
}

// rhythm returns how long a read of the stream waits, the pause after it, and
// whether a read is due at all. Every stream is read once at least.
func (f *Follower) rhythm(s *followed) (wait, pause time.Duration, due bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	switch {
	case s.index == noJobs:
		return followWait, ledgerPause, true
	case f.listener == nil:
		return 0, jobPause, s.next < 0 || f.inUse(s)
	case s.index == 0:
		return ownerFollowWait, ownerFollowPause, true
	default:
		return ownerAsideWait, ownerFollowPause, true
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
	return ageOf(now, f.used())
}

// LedgerStaleness returns how old what the owner has written may be.
func (f *Follower) LedgerStaleness(now time.Time) (age time.Duration, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return ageOf(now, []*followed{f.ledger})
}

func ageOf(now time.Time, streams []*followed) (age time.Duration, ok bool) {
	for _, s := range streams {
		if s.readAt.IsZero() {
			return 0, false
		}
		age = max(age, bothclocks.Most(now, s.readAt))
	}
	return age, true
}

// CatchUp reads all streams up to their ends.
func (f *Follower) CatchUp(ctx context.Context) error { return f.catchUp(ctx, f.streams()) }

// CatchUpUnusedStreams reads the streams that nobody is known to write to up to their ends.
func (f *Follower) CatchUpUnusedStreams(ctx context.Context) error {
	var unused []*followed
	f.mu.RLock()
	for _, s := range f.jobs {
		if !f.inUse(s) {
			unused = append(unused, s)
		}
	}
	f.mu.RUnlock()
	return f.catchUp(ctx, unused)
}

func (f *Follower) catchUp(ctx context.Context, streams []*followed) error {
	results := make(chan error, len(streams))
	for _, s := range streams {
		go func() {
			for {
				again, err := f.read(ctx, s, 0)
				if !again || err != nil {
					results <- err
					return
				}
			}
		}()
	}
	var failed error
	for range streams {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}
