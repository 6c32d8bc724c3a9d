package statemachine

// KindEntryGone is the kind of EntryGone.
const KindEntryGone Kind = "entry_gone"

// maxGoneText bounds the texts of a GoneStatement in bytes.
const maxGoneText = 200

// GoneStatement is an operator's word that the process of a removed entry has
// ended and will not run again.
type GoneStatement struct {
	// By names the operator.
	By string `json:"by"`
	// Reason says how the operator knows.
	Reason string `json:"reason"`
	// At is the offset of the statement.
	At uint64 `json:"at"`
}

// EntryGone states that a removed incarnation is gone, so that it can find no
// majority to work on with. It is void unless the writer is a member and the
// incarnation is removed, and for a second statement. It gives nothing back:
// EntryClear still waits until nothing runs.
type EntryGone struct {
	Incarnation string `json:"incarnation"`
	By          string `json:"by"`
	Reason      string `json:"reason"`
}

// Kind implements Command.
func (*EntryGone) Kind() Kind { return KindEntryGone }

func (c *EntryGone) apply(next *State, ctx applyContext) *Void {
	if _, ok := next.Member(ctx.writer); !ok {
		return voidf(ReasonWriter, "%s is not a member", ctx.writer)
	}
	if !validGoneText(c.By) || !validGoneText(c.Reason) {
		return voidf(ReasonInvalid, "by and reason must have 1 to %d bytes", maxGoneText)
	}
	entry, ok := next.Entries.Get(c.Incarnation)
	if !ok {
		return voidf(ReasonNotFound, "%s is not an entry", c.Incarnation)
	}
	if entry.State != EntryRemoved {
		return voidf(ReasonStep, "%s is a member; the others remove it once it does not answer", c.Incarnation)
	}
	if entry.Gone != nil {
		return voidf(ReasonExists, "%s was stated to be gone by %s", c.Incarnation, entry.Gone.By)
	}
	gone := *entry
	gone.Gone = &GoneStatement{By: c.By, Reason: c.Reason, At: ctx.offset}
	next.Entries = next.Entries.Set(c.Incarnation, &gone)
	return nil
}

func validGoneText(text string) bool {
	return text != "" && len(text) <= maxGoneText
}
