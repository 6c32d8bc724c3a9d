package scheduler

import (
	"time"
)

const (
	// stopRetryDelay is how long after an ineffective stop request it is repeated.
	stopRetryDelay = 700 * time.Millisecond
	// dueLeadTime is how long before its due time a task may start.
	dueLeadTime = 20 * time.Millisecond
)

// Tick handles time-driven changes: expired leases, stop requests to repeat and
// occurrences that become due.
func (s *Scheduler) Tick(now time.Time) {
	s.reportBeganInTime(now)
	for _, w := range s.workers {
		if !w.hasRuns() {
			continue
		}
		if w.lease.expired(now) && (w.missedPolls > 0 || !w.polled || w.info.Address == "") {
			s.requeueExpired(w, now)
			continue
		}
		for _, t := range w.tasks {
			if t.phase == stopping && w.missedPolls == 0 && now.Sub(t.stopRequestedAt) > stopRetryDelay+s.cfg.MaxStopTime && w.info.Address != "" {
				s.requestStop(t, now)
			}
		}
	}
	s.startDueOccurrences(now)
}

// requeueExpired requeues the tasks of a worker whose leases must have expired.
func (s *Scheduler) requeueExpired(w *worker, now time.Time) {
	s.emit(Event{Kind: "worker.lapsed", ID: w.info.ID, Reason: "all leases on it must have expired"})
	w.releaseStrays()
	w.forgetUnassigned()
	for _, t := range w.tasks {
		if t.phase == persisting {
			continue
		}
		s.giveUp(t, now, "the lease must have expired")
	}
}
