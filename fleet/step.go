package fleet

import "time"

// Step is a set of identical tasks of a job.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// EstimateMillis is the client's rough estimate of one task's run time.
	EstimateMillis int64 `json:"e,omitempty"`
	// DependsOn lists earlier steps whose tasks must all have completed.
	DependsOn []int `json:"a,omitempty"`
	// Gang tasks run only together and end together.
	Gang bool `json:"gang,omitempty"`
	// RackLocal tasks take several times as long on more than one rack.
	RackLocal bool `json:"rack,omitempty"`
	// Speculative tasks may run in several copies at once.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"last,omitempty"`
	// Checkpointing tasks save their progress.
	Checkpointing bool `json:"ckpt,omitempty"`
	// BestEffort tasks use the CPU that other tasks leave idle.
	BestEffort bool `json:"fill,omitempty"`
	// Label is a label that the worker must have; empty for none.
	Label string `json:"lab,omitempty"`
	// DataRack is the rack that stores the input data; empty for none.
	DataRack string `json:"near,omitempty"`
	// MaxPerWorker limits the step's tasks on one worker; 0 for no limit.
	MaxPerWorker int    `json:"per,omitempty"`
	Image        string `json:"img,omitempty"`
	// TailLatencyTargetMillis is the upper bound of a serving task's tail
	// latency; 0 for none.
	TailLatencyTargetMillis int64 `json:"tail,omitempty"`
	// HasDisruptionBudget is true if planned operations must respect MaxUnavailable.
	HasDisruptionBudget bool `json:"bud,omitempty"`
	// MaxUnavailable limits the tasks that planned operations disrupt at once.
	MaxUnavailable int `json:"miss,omitempty"`
}

// Estimate returns the client's estimate of one task's run time, at most maxEstimate.
func (s *Step) Estimate() time.Duration {
	return time.Duration(min(s.EstimateMillis, maxEstimate.Milliseconds())) * time.Millisecond
}

// ReservedResources returns the capacity that one task uses on its worker. Best-effort tasks
// use only the CPU that others leave.
func (s *Step) ReservedResources() Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}

// CoreSeconds returns the estimated CPU time of all tasks of the step.
func (s *Step) CoreSeconds() float64 {
	return float64(s.Count) * float64(s.EstimateMillis) / 1e3 * float64(s.Need.MilliCPU) / 1e3
}
