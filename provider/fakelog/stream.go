package fakelog

import (
	"fmt"

	"github.com/anvilcourse/anvilcourse/provider"
)

// stream is one totally ordered stream. The Log's mutex guards it.
type stream struct {
	name        string
	incarnation int
	oldest      uint64
	payloads    [][]byte
	changed     chan struct{}
}

func newStream(name string, incarnation int) *stream {
	return &stream{name: name, incarnation: incarnation, changed: make(chan struct{})}
}

func (s *stream) next() uint64 {
	return s.oldest + uint64(len(s.payloads))
}

func (s *stream) append(payloads [][]byte) uint64 {
	offset := s.next()
	for _, p := range payloads {
		s.payloads = append(s.payloads, append([]byte(nil), p...))
	}
	s.notifyReaders()
	return offset
}

// notifyReaders wakes the waiting readers.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// page returns the payloads from the offset on. ok is false if the offset is no
// longer retained.
func (s *stream) page(from uint64, limit int) (page provider.Page, ok bool) {
	page = provider.Page{Identity: fmt.Sprintf("%s#%d", s.name, s.incarnation), From: from, OldestOffset: s.oldest, NextOffset: s.next()}
	if from < s.oldest {
		return page, false
	}
	if from < page.NextOffset {
		rest := s.payloads[from-s.oldest:]
		page.Payloads = append([][]byte(nil), rest[:min(limit, len(rest))]...)
	}
	return page, true
}
