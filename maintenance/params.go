package maintenance

import "time"

// Params are the time bounds of the planner.
type Params struct {
	// SlotLeaseTTL is the longest time to live of a slot lease. A task may start
	// that long after the drain, under a lease from before it.
	SlotLeaseTTL time.Duration
	// MaxTaskListLag is the time by which a VM's own task list may lag.
	MaxTaskListLag time.Duration
	// MaxVMListAge is the age of the VM list beyond which no new step is planned.
	MaxVMListAge time.Duration
	// FailureStabilization is the time for which a failure must last before it
	// pauses a wave: the VMs of a lost rack are reported one by one.
	FailureStabilization time.Duration
	// SubstituteStabilization is the time for which no VM of a pool may have
	// failed or recovered before its substitutes return home.
	SubstituteStabilization time.Duration
	// MoveDrainTimeout is the time after which an operator's drain is abandoned.
	MoveDrainTimeout time.Duration
}

// DefaultParams returns the bounds for a platform whose task lists lag by up
// to a quarter of a second. The slot lease TTL is the dispatcher's.
func DefaultParams(slotLeaseTTL time.Duration) Params {
	return Params{
		SlotLeaseTTL:            slotLeaseTTL,
		MaxTaskListLag:          250 * time.Millisecond,
		MaxVMListAge:            3 * time.Second,
		FailureStabilization:    2 * time.Second,
		SubstituteStabilization: time.Minute,
		MoveDrainTimeout:        10 * time.Minute,
	}
}
