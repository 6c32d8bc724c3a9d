package fleetentry

import (
	"context"
	"sync"
	"time"
)

// followed is one stream and how far it has been read.
type followed struct {
	name string
	// index is the stream's among those of entries, or noJobs.
	index int
	// step lets one read at a time be under way.
	step sync.Mutex
	// next is the offset to read from; -1 before the first read.
	next int64
	// readAt is when the last successful read was sent.
	readAt time.Time
	lost   bool
	// written tells that an entry has written of a job to the stream.
	written bool
	pace    watchPace

	// pausing tells that no read is under way: what is known is as old as readAt.
	// It is guarded by turns.
	turns   sync.Mutex
	pausing bool
	// finished is closed and replaced after each read.
	finished chan struct{}
	// demanded ends the pause between two reads.
	demanded chan struct{}
}

// noJobs is the index of a stream to which entries do not write.
const noJobs = -1

func newFollowed(name string, index int) *followed {
	return &followed{name: name, index: index, next: -1, finished: make(chan struct{}), demanded: make(chan struct{}, 1)}
}

// pause waits for the span or until somebody demands a read.
func (s *followed) pause(ctx context.Context, d time.Duration) {
	s.setPausing(true)
	defer s.setPausing(false)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.demanded:
	case <-timer.C:
	}
}

func (s *followed) setPausing(pausing bool) {
	s.turns.Lock()
	defer s.turns.Unlock()
	s.pausing = pausing
	if pausing {
		close(s.finished)
		s.finished = make(chan struct{})
	}
}

// refresh returns once what is known of the stream is as new as the store can
// tell, or the context ends. A read that is under way tells of new records at
// once; without one, the next is made now.
func (s *followed) refresh(ctx context.Context) {
	s.turns.Lock()
	pausing, finished := s.pausing, s.finished
	s.turns.Unlock()
	if !pausing {
		return
	}
	signal(s.demanded)
	select {
	case <-ctx.Done():
	case <-finished:
	}
}
