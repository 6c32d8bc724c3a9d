package statemachine

const (
	// KindEntryAck is the kind of EntryAck.
	KindEntryAck Kind = "entry_ack"
	// KindEntryRemove is the kind of EntryRemove.
	KindEntryRemove Kind = "entry_remove"
	// KindEntryReclaim is the kind of EntryReclaim.
	KindEntryReclaim Kind = "entry_clear"
)

// EntryAck acknowledges that the writer has applied the membership version. It
// is rejected unless that is the latest one.
type EntryAck struct {
	Version uint64 `json:"version"`
}

// Kind implements Command.
func (*EntryAck) Kind() Kind { return KindEntryAck }

func (c *EntryAck) apply(next *State, ctx applyContext) *Rejection {
	entry, ok := next.Member(ctx.writer)
	if !ok {
		return rejectf(ReasonWriter, "%s is not a member", ctx.writer)
	}
	if c.Version != next.MembershipVersion {
		return rejectf(ReasonVersion, "the membership is at version %d, not %d", next.MembershipVersion, c.Version)
	}
	acknowledged := *entry
	acknowledged.acknowledge(c.Version, next.Entries.Len())
	next.Entries = next.Entries.Set(ctx.writer, &acknowledged)
	return nil
}

// EntryRemove removes an incarnation that another member cannot reach from the
// membership. The incarnation keeps its allotments until EntryReclaim, its own
// later records that raise an allotment or join are rejected, and it does not
// become a member again.
type EntryRemove struct {
	Incarnation string `json:"incarnation"`
}

// Kind implements Command.
func (*EntryRemove) Kind() Kind { return KindEntryRemove }

func (c *EntryRemove) apply(next *State, ctx applyContext) *Rejection {
	if _, ok := next.Member(ctx.writer); !ok {
		return rejectf(ReasonWriter, "%s is not a member", ctx.writer)
	}
	if c.Incarnation == ctx.writer {
		return rejectf(ReasonWriter, "%s cannot remove itself", ctx.writer)
	}
	entry, ok := next.Member(c.Incarnation)
	if !ok {
		return rejectf(ReasonNotFound, "%s is not a member", c.Incarnation)
	}
	removed := *entry
	removed.State = EntryRemoved
	removed.RemovedAt = ctx.offset
	next.Entries = next.Entries.Set(c.Incarnation, &removed)
	return nil
}

// EntryReclaim returns the allotments of a removed incarnation to the limits.
// The writer has verified that nothing runs under them and nothing will.
type EntryReclaim struct {
	Incarnation string `json:"incarnation"`
}

// Kind implements Command.
func (*EntryReclaim) Kind() Kind { return KindEntryReclaim }

func (c *EntryReclaim) apply(next *State, ctx applyContext) *Rejection {
	if _, ok := next.Member(ctx.writer); !ok {
		return rejectf(ReasonWriter, "%s is not a member", ctx.writer)
	}
	entry, ok := next.Entries.Get(c.Incarnation)
	if !ok || entry.State != EntryRemoved {
		return rejectf(ReasonNotFound, "%s is not a removed entry", c.Incarnation)
	}
	next.deleteEntry(c.Incarnation, entryReclaimed)
	return nil
}
