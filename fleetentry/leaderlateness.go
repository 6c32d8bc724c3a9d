package fleetentry

import (
	"context"
	"time"
)

const (
	// lateFrom is the lateness from which the leader counts as late: calls to workers
	// usually take a few ms. onTimeBelow is when it no longer does.
	lateFrom    = 200 * time.Millisecond
	onTimeBelow = 50 * time.Millisecond
	// maxLatePollDelay bounds the delay that lateness adds between two polls: clients
	// wait for the outcomes that a poll returns.
	maxLatePollDelay = 200 * time.Millisecond
)

// latePollDelay returns the delay that is added between two polls of a worker while the
// leader is late: each poll then returns more outcomes, and there is less to do.
func latePollDelay(late time.Duration) time.Duration { return min(late, maxLatePollDelay) }

// measureLateness measures how late the leader runs what is due, and logs when it
// becomes late and when it is on time again.
func (l *Leader) measureLateness(ctx context.Context) {
	var state latenessState
	l.lateness.Run(ctx, func(late time.Duration) {
		l.metrics.Observe("lateness", late)
		current := l.lateness.Current()
		if !state.update(current) {
			return
		}
		if state.late {
			l.log.Warn("the leader is late", "ms", current.Milliseconds(), "token", l.fencingToken)
			return
		}
		l.log.Info("the leader is on time again", "token", l.fencingToken)
	})
}

// latenessState tells whether the leader counts as late.
type latenessState struct{ late bool }

// update takes a new reading and reports whether the state has changed.
func (s *latenessState) update(current time.Duration) bool {
	before := s.late
	if s.late {
		s.late = current >= onTimeBelow
	} else {
		s.late = current >= lateFrom
	}
	return s.late != before
}
