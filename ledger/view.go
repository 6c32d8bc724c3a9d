package ledger

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// View is the state that the ledger's records reduce to. It is not safe for
// concurrent use.
type View struct {
	Jobs map[string]*Job
	// Waves holds the progress of each maintenance wave, by its number as text.
	Waves  map[string]Wave
	Leader Leader
	// LeaderOffset is the offset of the newest heartbeat; -1 for none.
	LeaderOffset int64
	// pending counts each queue's jobs of which no task has started.
	pending map[string]int
	// held is what the jobs that have not ended take, in bytes.
	held int64
}

// NewView returns the state of an empty ledger.
func NewView() *View {
	return &View{Jobs: map[string]*Job{}, Waves: map[string]Wave{}, LeaderOffset: -1, pending: map[string]int{}}
}

// Pending returns the number of the queue's accepted jobs that have not started and
// have no schedule.
func (v *View) Pending(queue string) int { return v.pending[queue] }

// HeldBytes estimates what the jobs that have not ended take in a leader's memory, in bytes.
func (v *View) HeldBytes() int64 { return v.held }

// Apply applies one record. An error names a record that cannot be decoded; the state
// is then unchanged.
func (v *View) Apply(r fleet.Record) error {
	if r.Key == "" {
		return nil
	}
	id := r.Key[1:]
	switch r.Key[0] {
	case kindSubmission:
		return v.applySubmission(id, r)
	case kindCancellation:
		return v.applyCancellation(id, r)
	case kindAssignment:
		return v.applyAssignment(id, r)
	case kindSchedule:
		return v.applySchedule(id, r)
	case kindResult:
		return v.applyResult(id, r)
	case kindLeader:
		return v.applyLeader(r)
	case kindWave:
		return v.applyWave(id, r)
	}
	return nil
}

// AssignedWithoutSubmission returns a job that has assignments although its submission
// has not been read, or "".
func (v *View) AssignedWithoutSubmission() string {
	for id, j := range v.Jobs {
		if j.Submission == nil && j.HasProgress() && j.Result.Outcome == OutcomeNone {
			return id
		}
	}
	return ""
}

// updateJob changes one job and maintains the counts of pending jobs.
func (v *View) updateJob(id string, fn func(j *Job)) {
	j, known := v.Jobs[id]
	if !known {
		j = &Job{}
		v.Jobs[id] = j
	}
	before, heldBefore := j.isPending(), j.heldBytes()
	fn(j)
	v.held += j.heldBytes() - heldBefore
	after := j.isPending()
	if before != after && j.Submission != nil {
		if after {
			v.pending[j.Submission.Queue]++
		} else {
			v.pending[j.Submission.Queue]--
		}
	}
}

// heldBytes returns what the job takes until it has ended.
func (j *Job) heldBytes() int64 {
	if j.Submission == nil || j.Cancelled || j.Result.Outcome != OutcomeNone {
		return 0
	}
	return j.submissionBytes
}

func (j *Job) isPending() bool {
	return j.Submission != nil && !j.Submission.HasSchedule() && !j.Started && !j.Cancelled && j.Result.Outcome == OutcomeNone
}

func (v *View) applySubmission(id string, r fleet.Record) error {
	if len(r.Value) == 0 {
		v.Remove(id)
		return nil
	}
	if j, known := v.Jobs[id]; known && j.Submission != nil {
		return nil // A duplicate submission is the same job.
	}
	var s fleet.Submission
	if err := json.Unmarshal(r.Value, &s); err != nil {
		return errors.Wrapf(err, "submission %s", id)
	}
	s.ID = id
	v.updateJob(id, func(j *Job) { j.Submission, j.submissionBytes = &s, s.HeldBytes() })
	return nil
}

// AddStream records that the entries' stream of the index has the job.
func (v *View) AddStream(id string, index int) {
	if j, known := v.Jobs[id]; known {
		j.Streams = j.Streams.With(index)
	}
}

// Remove removes a job.
func (v *View) Remove(id string) {
	if j, known := v.Jobs[id]; known {
		v.held -= j.heldBytes()
		if j.isPending() {
			v.pending[j.Submission.Queue]--
		}
	}
	delete(v.Jobs, id)
}

func (v *View) applyCancellation(id string, r fleet.Record) error {
	if len(r.Value) == 0 {
		return nil
	}
	var c Cancellation
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return errors.Wrapf(err, "cancellation %s", id)
	}
	v.updateJob(id, func(j *Job) {
		j.Cancelled = true
		j.FinishedAtMillis = max(j.FinishedAtMillis, c.AtMillis)
	})
	return nil
}

func (v *View) applyAssignment(id string, r fleet.Record) error {
	task, err := fleet.ParseTaskID(id)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		if j, known := v.Jobs[task.Job]; known {
			delete(j.Tasks, task)
		}
		return nil
	}
	var a Assignment
	if err := json.Unmarshal(r.Value, &a); err != nil {
		return errors.Wrapf(err, "assignment %s", id)
	}
	v.updateJob(task.Job, func(j *Job) {
		if task.Occurrence < j.FinishedBefore {
			return
		}
		if j.Tasks == nil {
			j.Tasks = map[fleet.TaskID]Assignment{}
		}
		j.Tasks[task] = a
		j.Started = j.Started || a.HasBegun()
	})
	return nil
}

func (v *View) applySchedule(id string, r fleet.Record) error {
	if len(r.Value) == 0 {
		return nil // The job has a result.
	}
	var p ScheduleProgress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return errors.Wrapf(err, "schedule %s", id)
	}
	v.updateJob(id, func(j *Job) {
		j.Started = true
		j.FinishedBefore = max(j.FinishedBefore, p.FinishedBefore)
		for task := range j.Tasks {
			if task.Occurrence < j.FinishedBefore {
				delete(j.Tasks, task)
			}
		}
	})
	return nil
}

func (v *View) applyResult(id string, r fleet.Record) error {
	if len(r.Value) == 0 {
		return nil
	}
	var result Result
	if err := json.Unmarshal(r.Value, &result); err != nil {
		return errors.Wrapf(err, "result %s", id)
	}
	v.updateJob(id, func(j *Job) {
		j.Result = result
		j.FinishedAtMillis = max(j.FinishedAtMillis, result.AtMillis)
	})
	return nil
}

func (v *View) applyLeader(r fleet.Record) error {
	var leader Leader
	if err := json.Unmarshal(r.Value, &leader); err != nil {
		return errors.Wrap(err, "leader heartbeat")
	}
	if r.Offset >= v.LeaderOffset {
		v.Leader, v.LeaderOffset = leader, r.Offset
	}
	return nil
}

func (v *View) applyWave(id string, r fleet.Record) error {
	if len(r.Value) == 0 {
		delete(v.Waves, id)
		return nil
	}
	var w Wave
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return errors.Wrapf(err, "wave %s", id)
	}
	v.Waves[id] = w
	return nil
}
