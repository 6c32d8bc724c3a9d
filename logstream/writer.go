package logstream

import (
	"context"
	"encoding/json"

	"github.com/anvilcourse/anvilcourse/platform"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// write appends the proposals in batches, one append at a time, so that the
// record numbers reach the log in their order.
func (s *Stream) write(ctx context.Context) {
	var seq uint64
	for {
		batch := s.collect(ctx)
		if batch == nil {
			return
		}
		sent := batch[:0]
		for _, p := range batch {
			if !p.markSent() {
				p.abandon()
				continue
			}
			seq++
			p.seq = seq
			sent = append(sent, p)
		}
		if len(sent) > 0 {
			s.flush(ctx, sent)
		}
	}
}

// collect gathers the next batch. It returns nil once the context has ended.
func (s *Stream) collect(ctx context.Context) []*proposal {
	var batch []*proposal
	bytes := 0
	var age <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-s.queue:
			batch = append(batch, p)
			bytes += commandSize(p.command)
		case <-age:
			return batch
		}
		if len(batch) >= s.cfg.Limits.MaxBatchRecords || bytes >= s.cfg.Limits.MaxBatchBytes {
			return batch
		}
		if age == nil {
			age = s.after(ctx)
		}
	}
}

// after returns a channel that is closed when a batch has reached its age.
func (s *Stream) after(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	timer := s.cfg.Clock.NewTimer(s.cfg.Limits.MaxBatchAge)
	go func() {
		defer close(done)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
		}
	}()
	return done
}

func commandSize(command statemachine.Command) int {
	raw, err := json.Marshal(command)
	if err != nil {
		return 0
	}
	return len(raw)
}

// flush appends the batch until every proposal in it is resolved or given up.
// A repeated append is harmless: the reducer drops record numbers it has seen.
func (s *Stream) flush(ctx context.Context, batch []*proposal) {
	payload, err := s.encode(batch)
	if err != nil {
		finishAll(batch, proposeError(platform.Refused, platform.CodeInvalid, err.Error()))
		return
	}
	s.await(batch)
	everUnknown := false
	for !allDone(batch) && ctx.Err() == nil {
		outcome := s.append(ctx, payload)
		if outcome == "" {
			return
		}
		everUnknown = everUnknown || outcome == platform.Unknown
		if !everUnknown && allExpired(batch) {
			s.forget(batch)
			finishAll(batch, proposeError(platform.Refused, platform.CodeUnavailable, "the log takes no records"))
			return
		}
		s.pause(ctx)
	}
	s.forget(batch)
}

// append sends one append and returns its outcome, or "" on success.
func (s *Stream) append(ctx context.Context, payload []byte) platform.Outcome {
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.Limits.CallTimeout)
	defer cancel()
	_, err := s.cfg.Log.Append(callCtx, s.cfg.Name, [][]byte{payload})
	if err == nil {
		return ""
	}
	s.cfg.Logger.Debug("append failed", "stream", s.cfg.Name, "error", err.Error())
	return platform.OutcomeOf(err)
}

func (s *Stream) encode(batch []*proposal) ([]byte, error) {
	out := statemachine.Batch{Writer: s.cfg.Writer, AtMS: s.cfg.Clock.Now().UnixMilli()}
	for _, p := range batch {
		out.Records = append(out.Records, statemachine.Record{Seq: p.seq, Command: p.command})
	}
	return statemachine.EncodeBatch(out)
}

// await registers the proposals for their results.
func (s *Stream) await(batch []*proposal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range batch {
		s.waiting[p.seq] = p
	}
}

func (s *Stream) forget(batch []*proposal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range batch {
		delete(s.waiting, p.seq)
	}
}

func (s *Stream) pause(ctx context.Context) {
	select {
	case <-s.cfg.Clock.After(s.cfg.Limits.RetryDelay):
	case <-ctx.Done():
	}
}

func finishAll(batch []*proposal, err error) {
	for _, p := range batch {
		p.finish(statemachine.Result{}, err)
	}
}

func allDone(batch []*proposal) bool {
	for _, p := range batch {
		select {
		case <-p.done:
		default:
			return false
		}
	}
	return true
}

func allExpired(batch []*proposal) bool {
	for _, p := range batch {
		if p.ctx.Err() == nil {
			return false
		}
	}
	return true
}
