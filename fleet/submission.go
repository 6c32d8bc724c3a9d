package fleet

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxSteps is how many steps a job has at most.
	MaxSteps = 256
	// MaxTasks is how many tasks a job has at most in one occurrence: it bounds the memory
	// that one job can take.
	MaxTasks = 20_000
	// MaxOverlap is how many occurrences of a job may be held at once whatever others do, as
	// long as they have MaxTasks tasks at most.
	MaxOverlap = 4
	// maxOccurrences limits the occurrences of a job.
	maxOccurrences = 1_000_000
	// maxDueMillis is the last millisecond of the year 9999, in Unix time.
	maxDueMillis = 253_402_300_799_999
	// maxEstimate bounds the estimate of a task: several times the sum over MaxSteps is
	// a time.Duration.
	maxEstimate = 30 * 24 * time.Hour
	// heldJobBytes, heldStepBytes, heldDependencyBytes and heldTaskBytes are what a job and
	// each of its parts take in a leader's memory: submission, state and assignments.
	heldJobBytes        = 1000
	heldStepBytes       = 800
	heldDependencyBytes = 16
	heldTaskBytes       = 700
)

// Submission is a job as submitted by its client.
type Submission struct {
	ID    string `json:"i"`
	Queue string `json:"q"`
	Team  string `json:"t,omitempty"`
	// Spec is opaque and passed on to the worker.
	Spec  string `json:"s,omitempty"`
	Steps []Step `json:"p"`
	// Occurrences is how many times the steps run; 0 for a job that runs once
	// and has no due time.
	Occurrences int `json:"o,omitempty"`
	// FirstDueMillis is the Unix time in milliseconds when occurrence 0 is due.
	FirstDueMillis int64 `json:"d,omitempty"`
	IntervalMillis int64 `json:"v,omitempty"`
	// ArrivedMillis is the Unix time in milliseconds when an entry accepted it.
	ArrivedMillis int64 `json:"w"`
	// Acceptance is nil in records of releases that did not store it.
	Acceptance *Acceptance `json:"a,omitempty"`
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

// Tasks returns the number of tasks of one occurrence.
func (s *Submission) Tasks() int {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	return tasks
}

// HeldBytes estimates what a leader holds of the job until it ends, in bytes of memory.
func (s *Submission) HeldBytes() int64 {
	tasks := s.Tasks()
	held := max(tasks, min(tasks*min(max(1, s.Occurrences), MaxOverlap), MaxTasks))
	return s.recordBytes() + int64(held)*heldTaskBytes
}

// recordBytes estimates what the submission and the state of its steps take.
func (s *Submission) recordBytes() int64 {
	bytes := int64(heldJobBytes + len(s.Spec))
	for i := range s.Steps {
		step := &s.Steps[i]
		bytes += heldStepBytes + int64(len(step.DependsOn))*heldDependencyBytes + int64(len(step.Label)+len(step.DataRack)+len(step.Image))
	}
	return bytes
}

// HasTask reports whether the task is one of the job's.
func (s *Submission) HasTask(id TaskID) bool {
	return id.Occurrence >= 0 && id.Occurrence < max(1, s.Occurrences) &&
		id.Step >= 0 && id.Step < len(s.Steps) && id.Index >= 0 && id.Index < s.Steps[id.Step].Count
}

// CriticalPath returns the estimated duration of the longest chain of steps.
func (s *Submission) CriticalPath() time.Duration {
	longest := time.Duration(0)
	finishAt := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		var start time.Duration
		for _, dependency := range s.Steps[i].DependsOn {
			start = max(start, finishAt[dependency])
		}
		finishAt[i] = start + s.Steps[i].Estimate()
		longest = max(longest, finishAt[i])
	}
	return longest
}

// CoreSeconds returns the estimated CPU time of one occurrence.
func (s *Submission) CoreSeconds() float64 {
	sum := 0.0
	for i := range s.Steps {
		sum += s.Steps[i].CoreSeconds()
	}
	return sum
}

// Validate returns an error if the submission cannot run.
func (s *Submission) Validate() error {
	if len(s.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	if len(s.Steps) > MaxSteps {
		return errors.Newf("the job has %d steps, more than %d", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > maxOccurrences {
		return errors.Newf("the job repeats %d times, outside 0 to %d", s.Occurrences, maxOccurrences)
	}
	if s.Occurrences > 1 && s.IntervalMillis < 0 {
		return errors.New("the interval is negative")
	}
	if last := float64(s.FirstDueMillis) + float64(s.IntervalMillis)*float64(s.Occurrences); last > maxDueMillis {
		return errors.New("the last repetition is due after the year 9999")
	}
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Count < 1 || step.Count > MaxTasks {
			return errors.Newf("step %d has %d tasks, outside 1 to %d", i, step.Count, MaxTasks)
		}
		tasks += step.Count
		if tasks > MaxTasks {
			return errors.Newf("the job has more than %d tasks", MaxTasks)
		}
		if step.Need.MilliCPU < 0 || step.Need.MemMB < 0 || step.Need.GPU < 0 || step.EstimateMillis < 0 {
			return errors.Newf("step %d requests a negative amount", i)
		}
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i {
				return errors.Newf("step %d depends on step %d, which is not an earlier one", i, dependency)
			}
		}
	}
	return nil
}
