package fleet

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a submission.
const (
	maxSteps = 256
	// maxTasks bounds the memory that one job can take.
	maxTasks = 20_000
	// maxOccurrences bounds a repeated job.
	maxOccurrences = 1_000_000
)

// Submission is a job as its caller handed it in.
type Submission struct {
	ID    string `json:"i"`
	Queue string `json:"q"`
	Team  string `json:"t,omitempty"`
	// Spec is passed on to the worker unread.
	Spec  string `json:"s,omitempty"`
	Steps []Step `json:"p"`
	// Occurrences is how many times the steps run; 0 for a job that runs once
	// and has no due time.
	Occurrences int `json:"o,omitempty"`
	// FirstDueMillis is when occurrence 0 is due, in milliseconds since 1970.
	FirstDueMillis int64 `json:"d,omitempty"`
	IntervalMillis int64 `json:"v,omitempty"`
	// ArrivedMillis is when an entry accepted it, in milliseconds since 1970.
	ArrivedMillis int64 `json:"w"`
}

// HasSchedule reports whether the job has due times.
func (s *Submission) HasSchedule() bool { return s.Occurrences > 0 }

// LongRunning reports whether the job runs until it is cancelled.
func (s *Submission) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Due returns when the occurrence may start.
func (s *Submission) Due(occurrence int) time.Time {
	if !s.HasSchedule() {
		return time.UnixMilli(s.ArrivedMillis)
	}
	return time.UnixMilli(s.FirstDueMillis + int64(occurrence)*s.IntervalMillis)
}

// CriticalPath returns the longest estimated path through the steps.
func (s *Submission) CriticalPath() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		var start time.Duration
		for _, before := range s.Steps[i].DependsOn {
			start = max(start, ends[before])
		}
		ends[i] = start + s.Steps[i].Estimate()
		longest = max(longest, ends[i])
	}
	return longest
}

// CoreSeconds returns the estimated processor time of one occurrence.
func (s *Submission) CoreSeconds() float64 {
	sum := 0.0
	for i := range s.Steps {
		sum += s.Steps[i].CoreSeconds()
	}
	return sum
}

// Validate returns what makes the submission one that cannot be run.
func (s *Submission) Validate() error {
	if len(s.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	if len(s.Steps) > maxSteps {
		return errors.Newf("the job has %d steps, more than %d", len(s.Steps), maxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > maxOccurrences {
		return errors.Newf("the job repeats %d times, outside 0 to %d", s.Occurrences, maxOccurrences)
	}
	if s.Occurrences > 1 && s.IntervalMillis < 0 {
		return errors.New("the interval is negative")
	}
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Count < 1 || step.Count > maxTasks {
			return errors.Newf("step %d has %d tasks, outside 1 to %d", i, step.Count, maxTasks)
		}
		tasks += step.Count
		if tasks > maxTasks {
			return errors.Newf("the job has more than %d tasks", maxTasks)
		}
		if step.Need.MilliCPU < 0 || step.Need.MemMB < 0 || step.Need.GPU < 0 || step.EstimateMillis < 0 {
			return errors.Newf("step %d asks for a negative amount", i)
		}
		for _, before := range step.DependsOn {
			if before < 0 || before >= i {
				return errors.Newf("step %d depends on step %d, which is not an earlier one", i, before)
			}
		}
	}
	return nil
}
