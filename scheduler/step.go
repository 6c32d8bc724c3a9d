package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// step is one step of one occurrence of a job.
type step struct {
	def        *fleet.Step
	occurrence *occurrence
	index      int
	tasks      []*task
	// done and waiting count tasks.
	done    int
	waiting int
	// pendingDependencies counts unfinished steps that this one needs.
	pendingDependencies int
	// tasksByWorker counts the tasks that use capacity, by worker.
	tasksByWorker map[string]int
	// readySince is since when tasks of the step have waited to be placed; zero for
	// none.
	readySince time.Time
	seen       seenRuns
	// reservedBefore reports that the step has had a reservation.
	reservedBefore bool
	// rack is the rack of the placed tasks of a rack-local step.
	rack string
	// gangDone reports that a member of the gang has succeeded; a new leader derives it
	// from the stored members.
	gangDone bool
	tickets  tickets
}

// ready reports whether the step has tasks that may be placed.
func (s *step) ready() bool {
	return s.pendingDependencies == 0 && s.waiting > 0 && !s.occurrence.job.finished
}

// name returns JOB.OCCURRENCE.STEP.
func (s *step) name() string {
	id := s.tasks[0].id.String()
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '.' {
			return id[:i]
		}
	}
	return id
}

// waitingFor returns how long tasks of the step have waited to be placed.
func (s *step) waitingFor(now time.Time) time.Duration {
	if s.readySince.IsZero() {
		s.readySince = now
	}
	return now.Sub(s.readySince)
}
