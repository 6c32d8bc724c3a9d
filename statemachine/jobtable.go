package statemachine

import "fmt"

// forgottenJobsPerRecord bounds the ended jobs that one record drops.
const forgottenJobsPerRecord = 8

// openJob returns a copy of the job if it has not ended.
func (s *State) openJob(id string) (Job, *Rejection) {
	job, ok := s.Jobs.Get(id)
	if !ok {
		return Job{}, voidf(ReasonNotFound, "there is no job %s", id)
	}
	if job.State.Finished() {
		return Job{}, voidf(ReasonStep, "job %s is %s", id, job.State)
	}
	return *job, nil
}

// ownedJob returns a copy of the open job if the writer owns it at the epoch.
func (s *State) ownedJob(id string, epoch int, writer string) (Job, *Rejection) {
	job, void := s.openJob(id)
	if void != nil {
		return Job{}, void
	}
	if job.Owner != writer || job.Epoch != epoch {
		return Job{}, voidf(ReasonEpoch, "job %s belongs to %s at epoch %d", id, job.Owner, job.Epoch)
	}
	return job, nil
}

// setJob stores the job and keeps the tables of open and ended jobs.
func (s *State) setJob(job Job, atMS int64) {
	s.Jobs = s.Jobs.Set(job.ID, &job)
	if !job.State.Finished() {
		s.UnfinishedJobs = s.UnfinishedJobs.Set(job.ID, job.Epoch)
		return
	}
	s.UnfinishedJobs = s.UnfinishedJobs.Delete(job.ID)
	s.FinishedJobs = s.FinishedJobs.Set(fmt.Sprintf("%016x-%s", max(0, atMS), job.ID), job.ID)
}

// forgetJobs drops a few of the jobs that ended long before the record.
func (s *State) forgetJobs(atMS int64) {
	horizon := fmt.Sprintf("%016x", max(0, atMS-JobRetention.Milliseconds()))
	var old []string
	for index, id := range s.FinishedJobs.All() {
		if index >= horizon || len(old) == forgottenJobsPerRecord {
			break
		}
		old = append(old, index)
		s.Jobs = s.Jobs.Delete(id)
	}
	for _, index := range old {
		s.FinishedJobs = s.FinishedJobs.Delete(index)
	}
}
