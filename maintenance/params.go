package maintenance

import "time"

// Params are the times that decisions count with.
type Params struct {
	// SlotLease is the longest time to live of a slot lease. A start under a
	// lease from before the drain may come that long after the drain.
	SlotLease time.Duration
	// UsageLag is the time by which a VM's own task list may lag.
	UsageLag time.Duration
	// ListStale is the age of the VM list at which no new step is taken.
	ListStale time.Duration
	// FailureSettle is the time for which a failure is watched before it
	// pauses a wave: a lost rack shows itself VM by VM.
	FailureSettle time.Duration
	// CoverSettle is the time for which no VM of a pool may have failed or come
	// back before a spare VM that stands in leaves it.
	CoverSettle time.Duration
	// MoveDeadline is the time after which an operator's drain is given up.
	MoveDeadline time.Duration
}

// DefaultParams returns the times for a platform whose task lists lag by up to
// a quarter of a second. SlotLease is the dispatcher's.
func DefaultParams(slotLease time.Duration) Params {
	return Params{
		SlotLease:     slotLease,
		UsageLag:      250 * time.Millisecond,
		ListStale:     3 * time.Second,
		FailureSettle: 2 * time.Second,
		CoverSettle:   time.Minute,
		MoveDeadline:  10 * time.Minute,
	}
}
