package statemachine

import "iter"

// EntryState is the state of an entry incarnation.
type EntryState string

const (
	// EntryJoined means that the incarnation is a member.
	EntryJoined EntryState = "joined"
	// EntryRemoved means that the other entries have removed the incarnation from
	// the membership. It starts nothing once it has read its removal, and it holds
	// its allotments until they are reclaimed.
	EntryRemoved EntryState = "removed"
)

// Entry is one incarnation of an entry process.
type Entry struct {
	// Incarnation is unique to one start of the process.
	Incarnation string `json:"incarnation"`
	// Name is the entry's stable name.
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	// PeerAddress is the address for other entries.
	PeerAddress string `json:"peers"`
	// ClientAddress is the address for clients.
	ClientAddress string `json:"callers"`
	// OperatorAddress is the address for operators.
	OperatorAddress string     `json:"operators"`
	State           EntryState `json:"state"`
	// JoinedAt is the offset of the join.
	JoinedAt uint64 `json:"joined_at"`
	// RemovedAt is the offset of the removal of a removed entry.
	RemovedAt uint64 `json:"removed_at,omitempty"`
	// RemovalConfirmation is set once an operator has confirmed the removal.
	RemovalConfirmation *RemovalConfirmation `json:"gone,omitempty"`
	// AcknowledgedVersion is the latest membership version that the entry has
	// reported as applied.
	AcknowledgedVersion uint64 `json:"acknowledged"`
	// Electorate bounds the members that the entry knows.
	Electorate Electorate `json:"electorate"`
}

// Members yields the entries that are joined and not removed, ordered by
// incarnation.
func (s *State) Members() iter.Seq2[string, *Entry] {
	return func(yield func(string, *Entry) bool) {
		for incarnation, entry := range s.Entries.All() {
			if entry.State == EntryJoined && !yield(incarnation, entry) {
				return
			}
		}
	}
}

// Member returns the entry if it is joined and not removed.
func (s *State) Member(incarnation string) (*Entry, bool) {
	entry, ok := s.Entries.Get(incarnation)
	if !ok || entry.State != EntryJoined {
		return nil, false
	}
	return entry, true
}

const (
	// KindEntryJoin is the kind of EntryJoin.
	KindEntryJoin Kind = "entry_join"
	// KindEntryLeave is the kind of EntryLeave.
	KindEntryLeave Kind = "entry_leave"
)

// EntryJoin makes the writer a member.
type EntryJoin struct {
	Entry Entry `json:"entry"`
}

// Kind implements Command.
func (*EntryJoin) Kind() Kind { return KindEntryJoin }

func (c *EntryJoin) apply(next *State, ctx applyContext) *Rejection {
	entry := c.Entry
	if entry.Incarnation != ctx.writer {
		return rejectf(ReasonWriter, "%s cannot join as %s", ctx.writer, entry.Incarnation)
	}
	if _, ok := next.Entries.Get(entry.Incarnation); ok {
		return rejectf(ReasonExists, "incarnation %s has joined before", entry.Incarnation)
	}
	if position, _ := next.Writers.Get(ctx.writer); position.MembershipEnded {
		return rejectf(ReasonExists, "incarnation %s has left or was reclaimed", entry.Incarnation)
	}
	next.updateElectorates(entryJoined)
	entry.State = EntryJoined
	entry.JoinedAt = ctx.offset
	entry.RemovedAt = 0
	entry.RemovalConfirmation = nil
	entry.acknowledge(next.MembershipVersion, next.Entries.Len()+1)
	next.Entries = next.Entries.Set(entry.Incarnation, &entry)
	return nil
}

// EntryLeave ends the writer's own membership. The writer no longer
// uses its allotments.
type EntryLeave struct {
	Incarnation string `json:"incarnation"`
}

// Kind implements Command.
func (*EntryLeave) Kind() Kind { return KindEntryLeave }

func (c *EntryLeave) apply(next *State, ctx applyContext) *Rejection {
	if c.Incarnation != ctx.writer {
		return rejectf(ReasonWriter, "%s cannot leave for %s", ctx.writer, c.Incarnation)
	}
	if _, ok := next.Entries.Get(c.Incarnation); !ok {
		return rejectf(ReasonNotFound, "incarnation %s has not joined", c.Incarnation)
	}
	next.deleteEntry(c.Incarnation, entryLeft)
	return nil
}

// deleteEntry returns all allotments of the entry and deletes the entry.
func (s *State) deleteEntry(incarnation string, change membershipChange) {
	for team, allotments := range s.Allotments.All() {
		if _, ok := allotments.ByEntry[incarnation]; ok {
			s.Allotments = s.Allotments.Set(team, allotments.withAmount(incarnation, 0))
		}
	}
	s.Entries = s.Entries.Delete(incarnation)
	position, _ := s.Writers.Get(incarnation)
	position.MembershipEnded = true
	s.Writers = s.Writers.Set(incarnation, position)
	s.updateElectorates(change)
}

// acknowledge resets the entry's electorate to the given size.
func (e *Entry) acknowledge(version uint64, size int) {
	e.AcknowledgedVersion = version
	e.Electorate = Electorate{Size: size}
}

// entryCommands are the commands that change the membership.
var entryCommands = map[Kind]newCommand{
	KindEntryJoin:           func() Command { return &EntryJoin{} },
	KindEntryLeave:          func() Command { return &EntryLeave{} },
	KindEntryAck:            func() Command { return &EntryAck{} },
	KindEntryRemove:         func() Command { return &EntryRemove{} },
	KindEntryReclaim:        func() Command { return &EntryReclaim{} },
	KindEntryRemovalConfirm: func() Command { return &EntryRemovalConfirm{} },
}
