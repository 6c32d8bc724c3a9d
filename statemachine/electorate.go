package statemachine

// Electorate bounds the groups of entries that an entry can have seen in any
// control state since its latest acknowledgement. An entry that cannot read the
// log keeps running while it reaches more than half of the members that it
// knows; the bound shows when it can no longer find such a majority.
type Electorate struct {
	// Size is the number of entries in the acknowledged state.
	Size int `json:"size"`
	// Balance is joined plus reclaimed minus left entries since then.
	Balance int `json:"balance"`
	// MinBalance is the lowest Balance since then.
	MinBalance int `json:"least_balance"`
	// Reclaimed counts the entries that were reclaimed since then.
	Reclaimed int `json:"cleared"`
}

// CanHaveMajority reports whether the entry may still reach more than half of
// the members of one of its states, itself included, if at most unconfirmed
// entries have not applied its removal. Entries reclaimed since the
// acknowledgement count as unconfirmed too: they may be paused or partitioned
// together with it.
func (e Electorate) CanHaveMajority(unconfirmed int) bool {
	return 2*(unconfirmed+e.Reclaimed) > e.Size+e.MinBalance
}

// afterChange returns the electorate after a change of the membership.
func (e Electorate) afterChange(change membershipChange) Electorate {
	switch change {
	case entryJoined:
		e.Balance++
	case entryLeft:
		e.Balance--
	case entryReclaimed:
		e.Balance++
		e.Reclaimed++
	}
	e.MinBalance = min(e.MinBalance, e.Balance)
	return e
}

// membershipChange is a change of the set of entries.
type membershipChange int

const (
	entryJoined membershipChange = iota
	entryLeft
	entryReclaimed
)

// updateElectorates applies a membership change to the electorate of every
// entry. A removed entry uses no state after its removal, so later joins and
// leaves do not count for it.
func (s *State) updateElectorates(change membershipChange) {
	s.MembershipVersion++
	for incarnation, entry := range s.Entries.All() {
		if entry.State == EntryRemoved && change != entryReclaimed {
			continue
		}
		shifted := *entry
		shifted.Electorate = entry.Electorate.afterChange(change)
		s.Entries = s.Entries.Set(incarnation, &shifted)
	}
}
