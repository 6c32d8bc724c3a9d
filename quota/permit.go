package quota

// Permit tells whether an entry may use what it holds. It is asked after the
// slot lease is taken: a start arrives before that lease lapses or is refused,
// so the answer bounds the time of the start, however long the entry is paused
// in between.
type Permit interface {
	// MayUseAllotment reports whether the entry is a member by a control state
	// that is known to be current.
	MayUseAllotment() bool
}
