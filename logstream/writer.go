package logstream

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// writer numbers the records of one Stream.
type writer struct {
	*Stream
	seq uint64
	// failed spaces the appends after one that failed.
	failed backoff
}

// write appends the proposals in batches, one append at a time, so that the
// record numbers reach the log in their order.
func (s *Stream) write(ctx context.Context) {
	w := &writer{Stream: s}
	for {
		batch := s.collect(ctx)
		if batch == nil {
			return
		}
		s.awaitRoom(ctx)
		batch = s.pace(ctx, batch)
		if sent := w.number(batch); len(sent) > 0 {
			w.flush(ctx, sent)
		}
	}
}

// number gives the next numbers to the proposals that are still wanted.
func (w *writer) number(batch []*proposal) []*proposal {
	batch = slices.DeleteFunc(batch, (*proposal).left)
	for _, p := range batch {
		w.seq++
		p.seq = w.seq
	}
	return batch
}

// awaitRoom holds the writer while too many records are written and not read
// back.
func (s *Stream) awaitRoom(ctx context.Context) {
	for s.waiting.len() >= s.cfg.Limits.MaxQueued && ctx.Err() == nil {
		s.pause(ctx)
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

// flush appends the batch until it is written or no proposer waits for it any
// more. A repeated append is harmless: the reducer drops record numbers it has
// seen. While no append can have reached the log, a proposer that gives up is
// left out.
func (w *writer) flush(ctx context.Context, batch []*proposal) {
	for ctx.Err() == nil && w.FatalError() == nil {
		batch = slices.DeleteFunc(batch, func(p *proposal) bool { return p.left() || !p.markSent() })
		if len(batch) == 0 {
			return
		}
		payload, err := w.encode(batch)
		if err != nil {
			finishAll(batch, proposeError(provider.Refused, provider.CodeInvalid, err.Error()))
			return
		}
		w.waiting.add(batch)
		outcome := w.append(ctx, payload)
		if outcome == "" {
			return
		}
		if outcome == provider.Unknown {
			w.repeat(ctx, batch, payload)
			return
		}
		w.takeBack(batch)
		w.backOffWrites(ctx, &w.failed, batch)
	}
	finishAll(batch, proposeError(provider.Refused, provider.CodeUnavailable, "the stream has ended"))
}

// takeBack returns a refused batch to the state before it was sent. A proposer
// that gave up meanwhile learns that its record was refused.
func (w *writer) takeBack(batch []*proposal) {
	w.waiting.remove(batch)
	for _, p := range batch {
		if p.ctx.Err() != nil {
			p.finish(statemachine.Result{}, proposeError(provider.Refused, provider.CodeUnavailable, "the log takes no records"))
			continue
		}
		p.state.Store(int32(proposalQueued))
	}
}

// repeat appends a batch that may stand in the log until it is written, read
// back or wanted no more.
func (w *writer) repeat(ctx context.Context, batch []*proposal, payload []byte) {
	for w.backOffWrites(ctx, &w.failed, batch); slices.ContainsFunc(batch, (*proposal).wanted); w.backOffWrites(ctx, &w.failed, batch) {
		if ctx.Err() != nil || w.FatalError() != nil || w.append(ctx, payload) == "" {
			return
		}
	}
	w.fence(ctx)
}

// fence settles the records whose appends may yet reach the log: once a later
// record of this writer stands in the stream, they can take effect no more.
func (w *writer) fence(ctx context.Context) {
	w.seq++
	fence := newProposal(ctx, &statemachine.Fence{})
	fence.seq = w.seq
	payload, err := w.encode([]*proposal{fence})
	if err != nil {
		return
	}
	for w.waiting.len() > 0 && ctx.Err() == nil && w.FatalError() == nil {
		if w.append(ctx, payload) == "" {
			return
		}
		w.backOffWrites(ctx, &w.failed, nil)
	}
}

// append sends one append and returns its outcome, or "" on success.
func (w *writer) append(ctx context.Context, payload []byte) provider.Outcome {
	outcome := w.Stream.append(ctx, payload)
	if outcome == "" {
		w.failed.reset()
	}
	return outcome
}

func (s *Stream) append(ctx context.Context, payload []byte) provider.Outcome {
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.Limits.AppendTimeout)
	defer cancel()
	s.attempts.Add(1)
	_, err := s.cfg.Log.Append(callCtx, s.cfg.Name, [][]byte{payload})
	if err == nil {
		return ""
	}
	s.cfg.Logger.Debug("append failed", "stream", s.cfg.Name, "error", err.Error())
	return provider.OutcomeOf(err)
}

func (s *Stream) encode(batch []*proposal) ([]byte, error) {
	out := statemachine.Batch{Writer: s.cfg.Writer, AtMS: s.cfg.Clock.Now().UnixMilli()}
	for _, p := range batch {
		out.Records = append(out.Records, statemachine.Record{Seq: p.seq, Command: p.command})
	}
	return statemachine.EncodeBatch(out)
}

// pause waits for the least pause between two looks.
func (s *Stream) pause(ctx context.Context) { s.sleep(ctx, s.cfg.Limits.RetryDelay) }

func finishAll(batch []*proposal, err error) {
	for _, p := range batch {
		p.finish(statemachine.Result{}, err)
	}
}
