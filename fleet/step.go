package fleet

import "time"

// Step is a set of equal tasks of a job.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// EstimateMillis is the caller's rough estimate of one task's run time.
	EstimateMillis int64 `json:"e,omitempty"`
	// DependsOn lists earlier steps whose tasks must all have ended as done.
	DependsOn []int `json:"a,omitempty"`
	// Gang tasks work only together and end together.
	Gang bool `json:"gang,omitempty"`
	// RackLocal tasks take several times as long on more than one rack.
	RackLocal bool `json:"rack,omitempty"`
	// Speculative tasks may run in several copies at once.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"last,omitempty"`
	// Checkpointing tasks save their progress.
	Checkpointing bool `json:"ckpt,omitempty"`
	// BestEffort tasks use the processors that other tasks leave unused.
	BestEffort bool `json:"fill,omitempty"`
	// Label is one that the worker must have; empty for none.
	Label string `json:"lab,omitempty"`
	// DataRack is the rack on which the data lies; empty for none.
	DataRack string `json:"near,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 for no bound.
	MaxPerWorker int    `json:"per,omitempty"`
	Image        string `json:"img,omitempty"`
	// TailLatencyTargetMillis is the response time below which the tail of a serving
	// task must stay; 0 for none.
	TailLatencyTargetMillis int64 `json:"tail,omitempty"`
	// HasDisruptionBudget tells whether planned work must keep MayMiss.
	HasDisruptionBudget bool `json:"bud,omitempty"`
	// MaxUnavailable is how many tasks planned work may make unavailable at once.
	MaxUnavailable int `json:"miss,omitempty"`
}

// Estimate returns the caller's estimate of one task's run time.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMillis) * time.Millisecond }

// CoreSeconds returns the estimated processor time of all tasks of the step.
func (s *Step) CoreSeconds() float64 {
	return float64(s.Count) * float64(s.EstimateMillis) / 1e3 * float64(s.Need.MilliCPU) / 1e3
}
