package logstream

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/provider"
)

// streamFault is why a Stream has stopped for good.
type streamFault struct {
	err error
}

// FatalError returns why the stream has stopped for good, or nil. The log's
// offsets are then no longer those of the state: the process has to be
// replaced, and operators have to find out what became of the log.
func (s *Stream) FatalError() error {
	if f := s.fault.Load(); f != nil {
		return f.err
	}
	return nil
}

// checkPage compares the page with what is known of the stream. It records a
// Fault if the stream is another one, or shorter than what has been applied.
func (s *Stream) checkPage(page provider.Page, from uint64) error {
	if page.From != from {
		return errors.Newf("stream %s: asked for offset %d and got %d", s.cfg.Name, from, page.From)
	}
	identity := s.Identity()
	if identity == "" {
		s.identity.Store(&page.Identity)
		identity = page.Identity
	}
	if page.Identity != identity {
		return s.fail(errors.Newf("stream %s was made anew: its identity is %s, not %s", s.cfg.Name, page.Identity, identity))
	}
	if page.NextOffset < from {
		return s.fail(errors.Newf("stream %s has lost records: it ends at %d, and %d were applied", s.cfg.Name, page.NextOffset, from))
	}
	return nil
}

// fail stops the stream for good.
func (s *Stream) fail(err error) error {
	s.cfg.Logger.Error("stream stopped", "stream", s.cfg.Name, "error", err.Error())
	s.fault.CompareAndSwap(nil, &streamFault{err: err})
	s.waiting.giveUp(math.MaxUint64, err.Error())
	return err
}

// Identity returns the identity of the stream in the log, or "" before it is
// known.
func (s *Stream) Identity() string {
	if identity := s.identity.Load(); identity != nil {
		return *identity
	}
	return ""
}
