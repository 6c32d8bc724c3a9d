package standin

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/provider"
)

// stream is one totally ordered stream of the log.
type stream struct {
	mu           sync.Mutex
	id           string
	oldestOffset uint64
	payloads     [][]byte
	times        []time.Time
	changed      chan struct{}
}

func newStream() *stream {
	return &stream{id: uuid.NewString(), changed: make(chan struct{})}
}

// append adds the payloads and wakes waiting readers.
func (s *stream) append(payloads [][]byte, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.oldestOffset + uint64(len(s.payloads))
	for _, p := range payloads {
		s.payloads = append(s.payloads, p)
		s.times = append(s.times, now)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// readPage returns the payloads from the offset on, and a channel that is closed
// at the next append. ok is false if the offset has been trimmed.
func (s *stream) readPage(from uint64, limit int) (page provider.Page, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.oldestOffset + uint64(len(s.payloads))
	page = provider.Page{Identity: s.id, From: from, OldestOffset: s.oldestOffset, NextOffset: next}
	if from < s.oldestOffset {
		return page, s.changed, false
	}
	if from >= next {
		return page, s.changed, true
	}
	rest := s.payloads[from-s.oldestOffset:]
	page.Payloads = rest[:min(limit, len(rest))]
	return page, s.changed, true
}

// trim deletes the payloads that were appended before the cutoff.
func (s *stream) trim(cutoff time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop := 0
	for drop < len(s.times) && s.times[drop].Before(cutoff) {
		drop++
	}
	s.payloads = append([][]byte(nil), s.payloads[drop:]...)
	s.times = append([]time.Time(nil), s.times[drop:]...)
	s.oldestOffset += uint64(drop)
}
