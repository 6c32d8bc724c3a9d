package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// step is one step of one occurrence of a job.
type step struct {
	def   *fleet.Step
	run   *occurrence
	index int
	tasks []*task
	// done and waiting count tasks.
	done    int
	waiting int
	// blockers counts the earlier steps that are not done yet.
	blockers int
	// onWorker counts the tasks that take room, by worker.
	onWorker map[string]int
	// readyAt is since when tasks of the step wait that may be placed; zero for
	// none.
	readyAt time.Time
	// rack is where a step that must stay on one rack has its first tasks.
	rack string
	// gangDone tells that a member of the gang has ended as done.
	gangDone bool
	ticks    tickets
}

// ready reports whether the step has tasks that may be placed.
func (s *step) ready() bool { return s.blockers == 0 && s.waiting > 0 && !s.run.job.ended }

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

// waitingSince returns for how long tasks of the step have waited.
func (s *step) waitingSince(now time.Time) time.Duration {
	if s.readyAt.IsZero() {
		s.readyAt = now
	}
	return now.Sub(s.readyAt)
}
