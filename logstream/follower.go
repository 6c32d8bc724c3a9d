package logstream

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// follow reads the stream and applies its records until the context ends or the
// stream has a fatal error.
func (s *Stream) follow(ctx context.Context) {
	if err := s.restoreSnapshot(ctx); err != nil {
		s.cfg.Logger.Info("starting without a snapshot", "stream", s.cfg.Name, "reason", err.Error())
	}
	var readBackoff backoff
	for ctx.Err() == nil && s.FatalError() == nil {
		err := s.readPage(ctx)
		s.readable.Store(err == nil)
		if provider.CodeOf(err) == provider.CodeTrimmed {
			s.restoreTrimmed(ctx)
		}
		if err == nil {
			readBackoff.reset()
			continue
		}
		s.cfg.Logger.Debug("read failed", "stream", s.cfg.Name, "error", err.Error())
		s.waitBackoff(ctx, &readBackoff)
	}
}

// restoreTrimmed installs a snapshot after the log has trimmed records that
// were not applied yet.
func (s *Stream) restoreTrimmed(ctx context.Context) {
	before := s.State().NextOffset
	if err := s.restoreSnapshot(ctx); err != nil || s.State().NextOffset == before {
		s.cfg.Logger.Error("the log has dropped records that were not applied, and there is no later snapshot",
			"stream", s.cfg.Name, "offset", before)
	}
}

// readPage reads and applies one page. Reaching the end of the stream proves
// that the state was current when the read was sent.
func (s *Stream) readPage(ctx context.Context) error {
	limits := s.cfg.Limits
	callCtx, cancel := context.WithTimeout(ctx, limits.ReadWait+limits.ReadTimeout)
	defer cancel()
	s.reads.Add(1)
	sent := s.cfg.Clock.Now()
	from := s.State().NextOffset
	page, err := s.cfg.Log.Read(callCtx, s.cfg.Name, from, limits.ReadLimit, s.readWait())
	if err != nil {
		return err
	}
	if err := s.checkPage(page, from); err != nil {
		return err
	}
	s.applyAll(page.From, page.Payloads)
	if s.State().NextOffset >= page.NextOffset {
		s.recordCurrent(sent)
	}
	return nil
}

// readWait returns the wait for new records. It is 0 while the state is stale,
// as at the start or after a pause, to find the end at once.
func (s *Stream) readWait() time.Duration {
	if s.Staleness() > 2*s.cfg.Limits.ReadWait {
		return 0
	}
	return s.cfg.Limits.ReadWait
}

// applyAll applies consecutive payloads, the first at the given offset.
// Payloads that were applied before are skipped; after a gap none is applied.
func (s *Stream) applyAll(from uint64, payloads [][]byte) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if from > s.State().NextOffset {
		return
	}
	for i, payload := range payloads {
		s.applyPayload(from+uint64(i), payload)
	}
}

// Readable reports whether the last read of the log succeeded.
func (s *Stream) Readable() bool {
	return s.readable.Load() && s.FatalError() == nil
}
