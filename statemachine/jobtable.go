package statemachine

import "fmt"

// maxJobsCollectedPerRecord bounds the finished jobs deleted per record.
const maxJobsCollectedPerRecord = 8

// unfinishedJob returns a copy of the job if it has not finished.
func (s *State) unfinishedJob(id string) (Job, *Rejection) {
	job, ok := s.Jobs.Get(id)
	if !ok {
		return Job{}, rejectf(ReasonNotFound, "job %s does not exist", id)
	}
	if job.State.Finished() {
		return Job{}, rejectf(ReasonStep, "job %s is %s", id, job.State)
	}
	return *job, nil
}

// ownedJob returns a copy of the unfinished job if the writer owns it at the
// epoch.
func (s *State) ownedJob(id string, epoch int, writer string) (Job, *Rejection) {
	job, rejection := s.unfinishedJob(id)
	if rejection != nil {
		return Job{}, rejection
	}
	if job.Owner != writer || job.Epoch != epoch {
		return Job{}, rejectf(ReasonEpoch, "job %s belongs to %s at epoch %d", id, job.Owner, job.Epoch)
	}
	return job, nil
}

// setJob stores the job and updates the tables of unfinished and finished jobs.
func (s *State) setJob(job Job, atMS int64) {
	s.Jobs = s.Jobs.Set(job.ID, &job)
	if !job.State.Finished() {
		s.UnfinishedJobs = s.UnfinishedJobs.Set(job.ID, job.Epoch)
		return
	}
	s.UnfinishedJobs = s.UnfinishedJobs.Delete(job.ID)
	s.FinishedJobs = s.FinishedJobs.Set(fmt.Sprintf("%016x-%s", max(0, atMS), job.ID), job.ID)
}

// collectFinishedJobs deletes a few jobs whose retention ended before the
// record.
func (s *State) collectFinishedJobs(atMS int64) {
	horizon := fmt.Sprintf("%016x", max(0, atMS-JobRetention.Milliseconds()))
	var expired []string
	for index, id := range s.FinishedJobs.All() {
		if index >= horizon || len(expired) == maxJobsCollectedPerRecord {
			break
		}
		expired = append(expired, index)
		s.Jobs = s.Jobs.Delete(id)
	}
	for _, index := range expired {
		s.FinishedJobs = s.FinishedJobs.Delete(index)
	}
}
