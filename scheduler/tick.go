package scheduler

import (
	"time"
)

const (
	// stopAgain is after how long a stop without an effect is sent again.
	stopAgain = 700 * time.Millisecond
	// dueAhead is how long before its due time a task may start.
	dueAhead = 20 * time.Millisecond
)

// Tick handles what time alone brings: leases that ran out, stops to repeat and
// occurrences that become due.
func (s *Scheduler) Tick(now time.Time) {
	for _, w := range s.workers {
		if len(w.tasks) == 0 {
			continue
		}
		if w.lapsed(now) && (w.missed > 0 || !w.looked || w.info.Address == "") {
			s.lapse(w, now)
			continue
		}
		for _, t := range w.tasks {
			if t.phase == stopping && w.missed == 0 && now.Sub(t.stopOrderedAt) > stopAgain+s.cfg.MaxStopTime && w.info.Address != "" {
				s.orderStop(t, now)
			}
		}
	}
	for j := range s.timed {
		for !j.ended && j.nextOccurrence < j.sub.Occurrences && !now.Before(j.sub.Due(j.nextOccurrence).Add(-dueAhead)) {
			s.begin(j)
		}
	}
}

// lapse takes back the tasks of a worker whose leases must have run out.
func (s *Scheduler) lapse(w *worker, now time.Time) {
	s.note(Event{Kind: "worker.lapsed", ID: w.info.ID, Reason: "no lease on it can still hold"})
	for _, t := range w.tasks {
		if t.phase == recording {
			continue
		}
		s.requeue(t, now, "the lease must have run out")
	}
}
