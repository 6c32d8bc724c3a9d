package logstream

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// follow reads the stream and applies its records until the context ends or
// the stream has a Fault.
func (s *Stream) follow(ctx context.Context) {
	if err := s.restore(ctx); err != nil {
		s.cfg.Logger.Info("starting without a snapshot", "stream", s.cfg.Name, "reason", err.Error())
	}
	var failed backoff
	for ctx.Err() == nil && s.FatalError() == nil {
		err := s.readOnce(ctx)
		s.readable.Store(err == nil)
		if provider.CodeOf(err) == provider.CodeTrimmed {
			s.restoreTrimmed(ctx)
		}
		if err == nil {
			failed.reset()
			continue
		}
		s.cfg.Logger.Debug("read failed", "stream", s.cfg.Name, "error", err.Error())
		s.backOff(ctx, &failed)
	}
}

// restoreTrimmed installs a snapshot after the log has dropped the records that
// the state needs next.
func (s *Stream) restoreTrimmed(ctx context.Context) {
	before := s.State().NextOffset
	if err := s.restore(ctx); err != nil || s.State().NextOffset == before {
		s.cfg.Logger.Error("the log has dropped records that were not applied, and there is no later snapshot",
			"stream", s.cfg.Name, "offset", before)
	}
}

// readOnce reads and applies one page. Reaching the end of the stream proves
// that the state was current when the read was sent.
func (s *Stream) readOnce(ctx context.Context) error {
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
		s.confirm(sent)
	}
	return nil
}

// readWait is the wait for new records. Without a young proof, as at the start
// or after a pause, the end of the stream is asked for at once.
func (s *Stream) readWait() time.Duration {
	if s.Staleness() > 2*s.cfg.Limits.ReadWait {
		return 0
	}
	return s.cfg.Limits.ReadWait
}

// applyAll applies consecutive payloads, of which the first has the offset.
// Payloads that have been applied are passed over, and a gap applies none.
func (s *Stream) applyAll(from uint64, payloads [][]byte) {
	s.applying.Lock()
	defer s.applying.Unlock()
	if from > s.State().NextOffset {
		return
	}
	for i, payload := range payloads {
		s.publish(from+uint64(i), payload)
	}
}

// Readable reports whether the last read of the log succeeded.
func (s *Stream) Readable() bool {
	return s.readable.Load() && s.FatalError() == nil
}
