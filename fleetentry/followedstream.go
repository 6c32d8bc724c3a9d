package fleetentry

import (
	"context"
	"sync"
	"time"
)

// followedStream is one stream and how far it has been read.
type followedStream struct {
	name string
	// index is the stream's index in jobStreams, or notJobStream.
	index int
	// readMu admits one read at a time.
	readMu sync.Mutex
	// next is the offset to read from; -1 before the first read.
	next int64
	// lastReadAt is when the last successful read was sent.
	lastReadAt time.Time
	failing    bool
	// hasJobRecords is set once the stream has a record of a job.
	hasJobRecords bool
	stalls        stallDetector

	// idle means that no read is in flight: the state is as old as lastReadAt. It is
	// guarded by idleMu.
	idleMu sync.Mutex
	idle   bool
	// readDone is closed and replaced after each read.
	readDone chan struct{}
	// wake ends the delay between two reads.
	wake chan struct{}
}

// notJobStream is the index of a stream to which entries do not write.
const notJobStream = -1

func newFollowedStream(name string, index int) *followedStream {
	return &followedStream{name: name, index: index, next: -1, readDone: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// waitIdle waits for the duration or until a read is requested.
func (s *followedStream) waitIdle(ctx context.Context, d time.Duration) {
	s.setIdle(true)
	defer s.setIdle(false)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-timer.C:
	}
}

func (s *followedStream) setIdle(idle bool) {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	s.idle = idle
	if idle {
		close(s.readDone)
		s.readDone = make(chan struct{})
	}
}

// refresh returns once the stream's state is as new as the store can provide, or the
// context ends. A read in flight returns new records at once; without one, the next
// starts now.
func (s *followedStream) refresh(ctx context.Context) {
	s.idleMu.Lock()
	idle, readDone := s.idle, s.readDone
	s.idleMu.Unlock()
	if !idle {
		return
	}
	signal(s.wake)
	select {
	case <-ctx.Done():
	case <-readDone:
	}
}
