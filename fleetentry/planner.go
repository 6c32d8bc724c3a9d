package fleetentry

import (
	"context"
	"time"
)

const (
	// planDelay lets events that arrive together be handled together.
	planDelay = 4 * time.Millisecond
	// planInterval is how often tasks are placed with no event.
	planInterval = 250 * time.Millisecond
	// planPauseFactor times the duration of a round is the pause after it: planning
	// takes at most a tenth of the processor. A round takes longer the more tasks wait,
	// and more of them wait the less time is left to send starts and read responses.
	planPauseFactor = 9
	// maxPlanPause bounds that pause: a round also takes long if the processor is taken
	// away meanwhile, and callers wait for the next one.
	maxPlanPause = 200 * time.Millisecond
)

// plan places tasks whenever something has changed.
func (l *Leader) plan(ctx context.Context) { runRounds(ctx, l.wake, l.placeTasks) }

// runRounds runs a round after each wake and at planInterval. The round returns how long
// it took.
func runRounds(ctx context.Context, wake <-chan struct{}, round func() time.Duration) {
	timer := time.NewTicker(planInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			sleep(ctx, planDelay)
		case <-timer.C:
		}
		sleep(ctx, min(planPauseFactor*round(), maxPlanPause))
	}
}

// placeTasks makes one round and returns how long it took.
func (l *Leader) placeTasks() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.journal.LeaderLeaseValid(now) {
		l.sched.Place(now)
	}
	took := time.Since(now)
	l.metrics.Observe("plan", took)
	l.flush(now)
	return took
}
