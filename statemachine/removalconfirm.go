package statemachine

// KindEntryRemovalConfirm is the kind of EntryRemovalConfirm.
const KindEntryRemovalConfirm Kind = "entry_gone"

// maxConfirmationTextBytes bounds each text of a RemovalConfirmation.
const maxConfirmationTextBytes = 200

// RemovalConfirmation is an operator's statement that the process of a removed
// entry has ended and will not run again.
type RemovalConfirmation struct {
	// By names the operator.
	By string `json:"by"`
	// Reason states how the operator knows.
	Reason string `json:"reason"`
	// Offset is the offset of the record.
	Offset uint64 `json:"at"`
}

// EntryRemovalConfirm states that a removed incarnation has ended for good, so
// that it cannot keep running in a majority. It is rejected unless the writer
// is a member and the incarnation is removed and not yet confirmed. It returns
// no allotments: EntryReclaim still waits until nothing runs.
type EntryRemovalConfirm struct {
	Incarnation string `json:"incarnation"`
	By          string `json:"by"`
	Reason      string `json:"reason"`
}

// Kind implements Command.
func (*EntryRemovalConfirm) Kind() Kind { return KindEntryRemovalConfirm }

func (c *EntryRemovalConfirm) apply(next *State, ctx applyContext) *Rejection {
	if _, ok := next.Member(ctx.writer); !ok {
		return rejectf(ReasonWriter, "%s is not a member", ctx.writer)
	}
	if !validConfirmationText(c.By) || !validConfirmationText(c.Reason) {
		return rejectf(ReasonInvalid, "by and reason must have 1 to %d bytes", maxConfirmationTextBytes)
	}
	entry, ok := next.Entries.Get(c.Incarnation)
	if !ok {
		return rejectf(ReasonNotFound, "%s is not an entry", c.Incarnation)
	}
	if entry.State != EntryRemoved {
		return rejectf(ReasonStep, "%s is a member; the other entries remove it once it stops responding", c.Incarnation)
	}
	if entry.RemovalConfirmation != nil {
		return rejectf(ReasonExists, "the removal of %s was already confirmed by %s", c.Incarnation, entry.RemovalConfirmation.By)
	}
	confirmed := *entry
	confirmed.RemovalConfirmation = &RemovalConfirmation{By: c.By, Reason: c.Reason, Offset: ctx.offset}
	next.Entries = next.Entries.Set(c.Incarnation, &confirmed)
	return nil
}

func validConfirmationText(text string) bool {
	return text != "" && len(text) <= maxConfirmationTextBytes
}
