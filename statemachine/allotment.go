package statemachine

import "maps"

// Allotments divides a team's upper limit among the entries. The sum of the
// amounts never exceeds the limit in force when an amount was last raised.
type Allotments struct {
	// ByEntry holds the amount of each entry incarnation.
	ByEntry map[string]int `json:"by_entry"`
}

// Total returns the sum of the amounts.
func (a *Allotments) Total() int {
	total := 0
	for _, amount := range a.ByEntry {
		total += amount
	}
	return total
}

// KindAllotmentAdjust is the kind of AllotmentAdjust.
const KindAllotmentAdjust Kind = "allotment_adjust"

// AllotmentAdjust changes the writer's own allotment of a team's limit. It is
// rejected unless the writer is a member that holds Held, so that a repeated
// adjustment changes nothing. A raise is granted up to what is left of the
// limit, and rejected if nothing is left. The holder lowers its usage before it
// writes a negative Delta.
type AllotmentAdjust struct {
	Team string `json:"team"`
	// Held is the writer's allotment before the adjustment.
	Held  int `json:"held"`
	Delta int `json:"delta"`
}

// Kind implements Command.
func (*AllotmentAdjust) Kind() Kind { return KindAllotmentAdjust }

func (c *AllotmentAdjust) apply(next *State, ctx applyContext) *Rejection {
	if _, ok := next.Member(ctx.writer); !ok {
		return rejectf(ReasonWriter, "%s is not a member", ctx.writer)
	}
	current, ok := next.Allotments.Get(c.Team)
	if !ok {
		current = &Allotments{}
	}
	held := current.ByEntry[ctx.writer]
	if held != c.Held {
		return rejectf(ReasonVersion, "%s holds %d of team %s, not %d", ctx.writer, held, c.Team, c.Held)
	}
	delta, rejection := c.grantableDelta(next, current)
	if rejection != nil {
		return rejection
	}
	if held+delta < 0 {
		return rejectf(ReasonInvalid, "%s holds %d of team %s", ctx.writer, held, c.Team)
	}
	next.Allotments = next.Allotments.Set(c.Team, current.withAmount(ctx.writer, held+delta))
	return nil
}

// grantableDelta returns the part of the adjustment that fits the limit.
func (c *AllotmentAdjust) grantableDelta(s *State, current *Allotments) (int, *Rejection) {
	if c.Delta <= 0 {
		return c.Delta, nil
	}
	workspace, ok := s.WorkspaceByTeam.Get(c.Team)
	if !ok {
		return 0, rejectf(ReasonNotFound, "team %s owns no workspace", c.Team)
	}
	headroom := workspace.Limit - current.Total()
	if headroom <= 0 {
		return 0, rejectf(ReasonInvalid, "the limit of team %s is fully allotted", c.Team)
	}
	return min(c.Delta, headroom), nil
}

// withAmount returns a copy in which the entry holds the amount.
func (a *Allotments) withAmount(entry string, amount int) *Allotments {
	out := &Allotments{ByEntry: maps.Clone(a.ByEntry)}
	if out.ByEntry == nil {
		out.ByEntry = make(map[string]int)
	}
	if amount == 0 {
		delete(out.ByEntry, entry)
		return out
	}
	out.ByEntry[entry] = amount
	return out
}

// allotmentCommands are the commands that divide the upper limits.
var allotmentCommands = map[Kind]newCommand{
	KindAllotmentAdjust: func() Command { return &AllotmentAdjust{} },
}
