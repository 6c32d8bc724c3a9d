package statemachine

// Subject identifies the one thing that a command concerns, if there is one.
type Subject struct {
	Team  string
	VM    string
	Wave  string
	Entry string
	// RequestID is the ID of the order or job.
	RequestID string
}

// SubjectOf returns the subject of a command. It is empty for commands that
// concern the whole system, such as a change of a template.
func SubjectOf(command Command) Subject {
	switch c := command.(type) {
	case *WorkspaceSet:
		return Subject{Team: c.Workspace.Team}
	case *AllotmentAdjust:
		return Subject{Team: c.Team}
	case *VMAdd:
		return Subject{VM: c.VM.ID}
	case *VMRemove:
		return Subject{VM: c.VM}
	case *VMDrain:
		return Subject{VM: c.VM, Wave: c.Wave}
	case *VMMove:
		return Subject{VM: c.VM}
	case *VMLend:
		return Subject{VM: c.VM}
	case *VMReboot:
		return Subject{VM: c.VM}
	case *VMReturn:
		return Subject{VM: c.VM}
	case *VMQuarantine:
		return Subject{VM: c.VM}
	case *VMRelease:
		return Subject{VM: c.VM}
	case *VMFailed:
		return Subject{VM: c.VM}
	case *VMRecovered:
		return Subject{VM: c.VM}
	case *WaveStart:
		return Subject{Wave: c.Wave.ID}
	case *WaveSet:
		return Subject{Wave: c.Wave}
	case *EntryJoin:
		return Subject{Entry: c.Entry.Incarnation}
	case *EntryLeave:
		return Subject{Entry: c.Incarnation}
	case *EntryRemove:
		return Subject{Entry: c.Incarnation}
	case *EntryRemovalConfirm:
		return Subject{Entry: c.Incarnation}
	case *EntryReclaim:
		return Subject{Entry: c.Incarnation}
	case *Claim:
		return Subject{Team: c.Team, VM: c.Target, RequestID: OrderID(c.Team, c.Key)}
	case *ClaimSettle:
		return Subject{RequestID: c.Order}
	default:
		return Subject{}
	}
}
