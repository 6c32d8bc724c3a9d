package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// requeueMissingRuns requeues tasks whose runs are proven absent. A status proves nothing
// while the worker has ends to return.
func (s *Scheduler) requeueMissingRuns(w *worker, status *fleet.WorkerStatus, sent, now time.Time) {
	if len(w.tasks) == 0 || status.MoreFinished {
		return
	}
	active := make(map[fleet.TaskID]int, len(status.Active))
	for i := range status.Active {
		active[status.Active[i].Task] = status.Active[i].Attempt
	}
	for id, t := range w.tasks {
		if active[id] == t.attempt || t.phase == persisting {
			continue
		}
		absent := t.phase == running && t.confirmedAt.Before(sent) ||
			t.restored && t.phase == starting ||
			t.restored && t.phase == stopping && !w.polled ||
			!t.absentAfter.IsZero() && t.absentAfter.Before(sent)
		if absent {
			s.giveUp(t, now, t.absenceReason(sent, now))
		}
	}
}
