package logstream

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/provider"
)

// streamFatalError is why a Stream has stopped permanently.
type streamFatalError struct {
	err error
}

// FatalError returns why the stream has stopped permanently, or nil. The log's
// offsets then no longer match the state: the process has to be replaced, and
// operators have to find out what happened to the log.
func (s *Stream) FatalError() error {
	if f := s.fatal.Load(); f != nil {
		return f.err
	}
	return nil
}

// checkPage validates the page against the stream. It records a fatal error if
// the stream was recreated, or is shorter than what has been applied.
func (s *Stream) checkPage(page provider.Page, from uint64) error {
	if page.From != from {
		return errors.Newf("stream %s: requested offset %d and got %d", s.cfg.Name, from, page.From)
	}
	identity := s.Identity()
	if identity == "" {
		s.identity.Store(&page.Identity)
		identity = page.Identity
	}
	if page.Identity != identity {
		return s.stopWithError(errors.Newf("stream %s was made anew: its identity is %s, not %s", s.cfg.Name, page.Identity, identity))
	}
	if page.NextOffset < from {
		return s.stopWithError(errors.Newf("stream %s has lost records: it ends at %d, and %d were applied", s.cfg.Name, page.NextOffset, from))
	}
	return nil
}

// stopWithError stops the stream permanently.
func (s *Stream) stopWithError(err error) error {
	s.cfg.Logger.Error("stream stopped", "stream", s.cfg.Name, "error", err.Error())
	s.fatal.CompareAndSwap(nil, &streamFatalError{err: err})
	s.unconfirmed.failUpTo(math.MaxUint64, err.Error())
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
