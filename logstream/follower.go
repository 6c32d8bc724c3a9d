package logstream

import (
	"context"

	"github.com/anvilcourse/anvilcourse/platform"
)

// follow reads the stream and applies its records until the context ends.
func (s *Stream) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.readOnce(ctx); err != nil {
			s.cfg.Logger.Debug("read failed", "stream", s.cfg.Name, "error", err.Error())
			s.pause(ctx)
		}
	}
}

// readOnce reads and applies one page. Reaching the end of the stream proves
// that the state was current when the read was sent.
func (s *Stream) readOnce(ctx context.Context) error {
	limits := s.cfg.Limits
	callCtx, cancel := context.WithTimeout(ctx, limits.ReadWait+limits.CallTimeout)
	defer cancel()
	sent := s.cfg.Clock.Now()
	from := s.State().Next
	page, err := s.cfg.Log.Read(callCtx, s.cfg.Name, from, limits.ReadLimit, limits.ReadWait)
	if err != nil {
		return err
	}
	s.applyPage(page)
	if s.State().Next >= page.Next {
		s.confirm(sent)
	}
	return nil
}

func (s *Stream) applyPage(page platform.Page) {
	for i, payload := range page.Payloads {
		s.publish(page.From+uint64(i), payload)
	}
}
