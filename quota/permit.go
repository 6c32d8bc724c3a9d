package quota

// Permit decides whether an entry may use its allotment. It is checked after
// the slot lease is taken: a start arrives before that lease expires or is
// refused, so the check bounds the time of the start, however long the entry
// is paused in between.
type Permit interface {
	// MayUseAllotment reports whether the entry is a member by a control state
	// that is known to be current.
	MayUseAllotment() bool
}
