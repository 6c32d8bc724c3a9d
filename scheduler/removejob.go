package scheduler

// RemoveFinishedJob removes a finished job that has no runs left.
func (s *Scheduler) RemoveFinishedJob(id string) {
	delete(s.previouslyFinished, id)
	if j, known := s.jobs[id]; known && j.finished && !j.hasRuns() {
		delete(s.jobs, id)
	}
}

// hasRuns reports whether a run of the job may still exist.
func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if len(st.tasksByWorker) > 0 {
				return true
			}
		}
	}
	return false
}
