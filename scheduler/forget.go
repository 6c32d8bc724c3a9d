package scheduler

// RemoveFinishedJob drops a job that has ended and has no runs left.
func (s *Scheduler) RemoveFinishedJob(id string) {
	delete(s.past, id)
	if j, known := s.jobs[id]; known && j.ended && !j.hasRuns() {
		delete(s.jobs, id)
	}
}

// hasRuns reports whether a run of the job may still be there.
func (j *job) hasRuns() bool {
	for _, o := range j.live {
		for _, st := range o.steps {
			if len(st.onWorker) > 0 {
				return true
			}
		}
	}
	return false
}
