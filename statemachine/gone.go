package statemachine

// KindEntryRemovalConfirm is the kind of EntryGone.
const KindEntryRemovalConfirm Kind = "entry_gone"

// maxGoneText bounds the texts of a GoneStatement in bytes.
const maxGoneText = 200

// RemovalConfirmation is an operator's word that the process of a removed entry has
// ended and will not run again.
type RemovalConfirmation struct {
	// By names the operator.
	By string `json:"by"`
	// Reason says how the operator knows.
	Reason string `json:"reason"`
	// Offset is the offset of the statement.
	Offset uint64 `json:"at"`
}

// EntryRemovalConfirm states that a removed incarnation is gone, so that it can find no
// majority to work on with. It is void unless the writer is a member and the
// incarnation is removed, and for a second statement. It gives nothing back:
// EntryClear still waits until nothing runs.
type EntryRemovalConfirm struct {
	Incarnation string `json:"incarnation"`
	By          string `json:"by"`
	Reason      string `json:"reason"`
}

// Kind implements Command.
func (*EntryRemovalConfirm) Kind() Kind { return KindEntryRemovalConfirm }

func (c *EntryRemovalConfirm) apply(next *State, ctx applyContext) *Rejection {
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
	if entry.RemovalConfirmation != nil {
		return voidf(ReasonExists, "%s was stated to be gone by %s", c.Incarnation, entry.RemovalConfirmation.By)
	}
	gone := *entry
	gone.RemovalConfirmation = &RemovalConfirmation{By: c.By, Reason: c.Reason, Offset: ctx.offset}
	next.Entries = next.Entries.Set(c.Incarnation, &gone)
	return nil
}

func validGoneText(text string) bool {
	return text != "" && len(text) <= maxGoneText
}
