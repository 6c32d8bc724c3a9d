package statemachine

// EntryState is the state of an entry incarnation.
type EntryState string

const (
	// EntryJoined means that the incarnation is a member.
	EntryJoined EntryState = "joined"
	// EntryLeft means that the incarnation has left and holds nothing.
	EntryLeft EntryState = "left"
)

// Entry is one incarnation of an entry process.
type Entry struct {
	// Incarnation is unique to one start of the process.
	Incarnation string `json:"incarnation"`
	// Name is the entry's stable name.
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	// Peers is the address for other entries.
	Peers string `json:"peers"`
	// Callers is the address for callers.
	Callers string `json:"callers"`
	// Operators is the address for operators.
	Operators string     `json:"operators"`
	State     EntryState `json:"state"`
}

const (
	// KindEntryJoin is the kind of EntryJoin.
	KindEntryJoin Kind = "entry_join"
	// KindEntryLeave is the kind of EntryLeave.
	KindEntryLeave Kind = "entry_leave"
)

// EntryJoin makes the writer's incarnation a member.
type EntryJoin struct {
	Entry Entry `json:"entry"`
}

// Kind implements Command.
func (*EntryJoin) Kind() Kind { return KindEntryJoin }

func (c *EntryJoin) apply(next *State, ctx applyContext) *Void {
	entry := c.Entry
	if entry.Incarnation != ctx.writer {
		return voidf(ReasonWriter, "%s cannot join as %s", ctx.writer, entry.Incarnation)
	}
	if _, ok := next.Entries.Get(entry.Incarnation); ok {
		return voidf(ReasonExists, "incarnation %s has joined before", entry.Incarnation)
	}
	entry.State = EntryJoined
	next.Entries = next.Entries.Set(entry.Incarnation, &entry)
	return nil
}

// EntryLeave ends the writer's own membership. The writer holds nothing more.
type EntryLeave struct {
	Incarnation string `json:"incarnation"`
}

// Kind implements Command.
func (*EntryLeave) Kind() Kind { return KindEntryLeave }

func (c *EntryLeave) apply(next *State, ctx applyContext) *Void {
	if c.Incarnation != ctx.writer {
		return voidf(ReasonWriter, "%s cannot leave for %s", ctx.writer, c.Incarnation)
	}
	if _, ok := next.Entries.Get(c.Incarnation); !ok {
		return voidf(ReasonNotFound, "incarnation %s has not joined", c.Incarnation)
	}
	for team, allotments := range next.Allotments.All() {
		if _, ok := allotments.ByEntry[c.Incarnation]; ok {
			next.Allotments = next.Allotments.Set(team, allotments.with(c.Incarnation, 0))
		}
	}
	next.Entries = next.Entries.Delete(c.Incarnation)
	return nil
}

// entryCommands are the commands that change the membership.
var entryCommands = map[Kind]newCommand{
	KindEntryJoin:  func() Command { return &EntryJoin{} },
	KindEntryLeave: func() Command { return &EntryLeave{} },
}
