package logstream

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// writer assigns the sequence numbers of one Stream's records.
type writer struct {
	*Stream
	seq uint64
	// appendBackoff is the delay between retried appends.
	appendBackoff backoff
}

// write appends the proposals in batches, one append at a time, so that the
// sequence numbers reach the log in order.
func (s *Stream) write(ctx context.Context) {
	w := &writer{Stream: s}
	for {
		batch := s.collectBatch(ctx)
		if batch == nil {
			return
		}
		s.awaitReadBack(ctx)
		batch = s.throttle(ctx, batch)
		if sent := w.assignSeqs(batch); len(sent) > 0 {
			w.flush(ctx, sent)
		}
	}
}

// assignSeqs assigns the next sequence numbers to the proposals that were not
// cancelled.
func (w *writer) assignSeqs(batch []*proposal) []*proposal {
	batch = slices.DeleteFunc(batch, (*proposal).dropIfCancelled)
	for _, p := range batch {
		w.seq++
		p.seq = w.seq
	}
	return batch
}

// awaitReadBack blocks the writer while too many records are written and not
// read back.
func (s *Stream) awaitReadBack(ctx context.Context) {
	for s.unconfirmed.len() >= s.cfg.Limits.MaxQueued && ctx.Err() == nil {
		s.waitRetryDelay(ctx)
	}
}

// collectBatch collects the next batch. It returns nil once the context has
// ended.
func (s *Stream) collectBatch(ctx context.Context) []*proposal {
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
			age = s.batchAgeTimer(ctx)
		}
	}
}

// batchAgeTimer returns a channel that is closed when a batch has reached its age.
func (s *Stream) batchAgeTimer(ctx context.Context) <-chan struct{} {
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

// flush retries the append of the batch until it is written or no proposer
// waits for it. A repeated append is harmless: the state machine drops sequence
// numbers that it has seen. While no append can have reached the log, cancelled
// proposals are omitted.
func (w *writer) flush(ctx context.Context, batch []*proposal) {
	for ctx.Err() == nil && w.FatalError() == nil {
		batch = slices.DeleteFunc(batch, func(p *proposal) bool { return p.dropIfCancelled() || !p.markSent() })
		if len(batch) == 0 {
			return
		}
		payload, err := w.encode(batch)
		if err != nil {
			finishAll(batch, proposeError(provider.Refused, provider.CodeInvalid, err.Error()))
			return
		}
		w.unconfirmed.add(batch)
		outcome := w.append(ctx, payload)
		if outcome == "" {
			return
		}
		if outcome == provider.Unknown {
			w.retryUntilResolved(ctx, batch, payload)
			return
		}
		w.revertToQueued(batch)
		w.waitAppendBackoff(ctx, &w.appendBackoff, batch)
	}
	finishAll(batch, proposeError(provider.Refused, provider.CodeUnavailable, "the stream has ended"))
}

// revertToQueued returns a refused batch to the queued state. Proposals that
// were cancelled meanwhile are refused.
func (w *writer) revertToQueued(batch []*proposal) {
	w.unconfirmed.remove(batch)
	for _, p := range batch {
		if p.ctx.Err() != nil {
			p.finish(statemachine.Result{}, proposeError(provider.Refused, provider.CodeUnavailable, "the log takes no records"))
			continue
		}
		p.state.Store(int32(proposalQueued))
	}
}

// retryUntilResolved retries the append of an in-doubt batch until it is
// written, read back or no proposer waits for it.
func (w *writer) retryUntilResolved(ctx context.Context, batch []*proposal, payload []byte) {
	for w.waitAppendBackoff(ctx, &w.appendBackoff, batch); slices.ContainsFunc(batch, (*proposal).isAwaited); w.waitAppendBackoff(ctx, &w.appendBackoff, batch) {
		if ctx.Err() != nil || w.FatalError() != nil || w.append(ctx, payload) == "" {
			return
		}
	}
	w.appendFence(ctx)
}

// appendFence resolves the records whose appends may still reach the log: once
// a later record of this writer is in the stream, they can no longer take
// effect.
func (w *writer) appendFence(ctx context.Context) {
	w.seq++
	fence := newProposal(ctx, &statemachine.Fence{})
	fence.seq = w.seq
	payload, err := w.encode([]*proposal{fence})
	if err != nil {
		return
	}
	for w.unconfirmed.len() > 0 && ctx.Err() == nil && w.FatalError() == nil {
		if w.append(ctx, payload) == "" {
			return
		}
		w.waitAppendBackoff(ctx, &w.appendBackoff, nil)
	}
}

// append sends one append and returns its outcome, or "" on success.
func (w *writer) append(ctx context.Context, payload []byte) provider.Outcome {
	outcome := w.Stream.append(ctx, payload)
	if outcome == "" {
		w.appendBackoff.reset()
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

// waitRetryDelay waits for the minimum delay between two checks.
func (s *Stream) waitRetryDelay(ctx context.Context) { s.sleep(ctx, s.cfg.Limits.RetryDelay) }

func finishAll(batch []*proposal, err error) {
	for _, p := range batch {
		p.finish(statemachine.Result{}, err)
	}
}
