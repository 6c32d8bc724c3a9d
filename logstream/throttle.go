package logstream

import (
	"context"
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// throttle waits until the append limiter allows the batch. Records proposed
// meanwhile are added up to the batch limits; one with priority ends the wait
// if the reserve allows.
func (s *Stream) throttle(ctx context.Context, batch []*proposal) []*proposal {
	wait := s.reserveAppend(batch)
	if wait <= 0 {
		return batch
	}
	timer := s.cfg.Clock.NewTimer(wait)
	defer timer.Stop()
	return s.extendBatch(ctx, batch, timer.Chan())
}

// reserveAppend reserves an append for the batch and returns the delay until it
// is allowed.
func (s *Stream) reserveAppend(batch []*proposal) time.Duration {
	if s.cfg.AppendLimiter == nil {
		return 0
	}
	return s.cfg.AppendLimiter.Reserve(slices.ContainsFunc(batch, s.hasPriority))
}

// extendBatch adds proposals to the batch until its append is allowed.
func (s *Stream) extendBatch(ctx context.Context, batch []*proposal, allowed <-chan time.Time) []*proposal {
	bytes := batchBytes(batch)
	for {
		queue := s.queue
		if len(batch) >= s.cfg.Limits.MaxBatchRecords || bytes >= s.cfg.Limits.MaxBatchBytes {
			queue = nil
		}
		select {
		case <-ctx.Done():
			return batch
		case <-allowed:
			return batch
		case p := <-queue:
			batch = append(batch, p)
			bytes += commandSize(p.command)
			if s.hasPriority(p) && s.cfg.AppendLimiter.Reserve(true) == 0 {
				return batch
			}
		}
	}
}

// hasPriority reports whether the record may use the append limiter's reserve.
func (s *Stream) hasPriority(p *proposal) bool {
	return s.cfg.HasPriority != nil && s.cfg.HasPriority(p.command)
}

func batchBytes(batch []*proposal) int {
	total := 0
	for _, p := range batch {
		total += commandSize(p.command)
	}
	return total
}

// IsConfiguration reports whether an operator publishes the command. It is the
// HasPriority of a stream that carries the configuration.
func IsConfiguration(command statemachine.Command) bool {
	switch command.Kind() {
	case statemachine.KindTemplateSet, statemachine.KindWorkspaceSet, statemachine.KindPoolSet,
		statemachine.KindKeyGrant, statemachine.KindKeyWithdraw:
		return true
	default:
		return false
	}
}
