package scheduler

import "github.com/anvilcourse/anvilcourse/fleet"

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
