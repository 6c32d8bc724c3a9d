package peer

import (
	"bufio"
	"sync"

	"github.com/hashicorp/yamux"
)

const (
	// maxIdleStreams is the number of idle streams per session that are kept for
	// later calls.
	maxIdleStreams = 4
	// readBufferBytes is the size of a stream's read buffer.
	readBufferBytes = 1 << 10
)

// session is a yamux session with its idle streams.
type session struct {
	*yamux.Session
	mu   sync.Mutex
	idle []*stream
}

// stream carries calls one after another.
type stream struct {
	*yamux.Stream
	reader *bufio.Reader
}

func newStream(s *yamux.Stream) *stream {
	return &stream{Stream: s, reader: bufio.NewReaderSize(s, readBufferBytes)}
}

// acquire returns an idle stream, or opens one.
func (s *session) acquire() (*stream, error) {
	s.mu.Lock()
	if last := len(s.idle) - 1; last >= 0 {
		out := s.idle[last]
		s.idle = s.idle[:last]
		s.mu.Unlock()
		return out, nil
	}
	s.mu.Unlock()
	opened, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	return newStream(opened), nil
}

// release returns a stream whose call was answered to the pool of idle streams.
func (s *session) release(answered *stream) {
	s.mu.Lock()
	keep := len(s.idle) < maxIdleStreams
	if keep {
		s.idle = append(s.idle, answered)
	}
	s.mu.Unlock()
	if !keep {
		_ = answered.Close()
	}
}
