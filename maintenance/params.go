package maintenance

import "time"

// Params are the times that decisions count with.
type Params struct {
	// SlotLeaseTTL is the longest time to live of a slot lease. A start under a
	// lease from before the drain may come that long after the drain.
	SlotLeaseTTL time.Duration
	// MaxTaskListLag is the time by which a VM's own task list may lag.
	MaxTaskListLag time.Duration
	// MaxVMListAge is the age of the VM list at which no new step is taken.
	MaxVMListAge time.Duration
	// FailureStabilization is the time for which a failure is watched before it
	// pauses a wave: a lost rack shows itself VM by VM.
	FailureStabilization time.Duration
	// SubstituteStabilization is the time for which no VM of a pool may have failed or come
	// back before a spare VM that stands in leaves it.
	SubstituteStabilization time.Duration
	// MoveDrainTimeout is the time after which an operator's drain is given up.
	MoveDrainTimeout time.Duration
}

// DefaultParams returns the times for a platform whose task lists lag by up to
// a quarter of a second. SlotLease is the dispatcher's.
func DefaultParams(slotLease time.Duration) Params {
	return Params{
		SlotLeaseTTL:            slotLease,
		MaxTaskListLag:          250 * time.Millisecond,
		MaxVMListAge:            3 * time.Second,
		FailureStabilization:    2 * time.Second,
		SubstituteStabilization: time.Minute,
		MoveDrainTimeout:        10 * time.Minute,
	}
}
