package quota

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	adjustInterval = 200 * time.Millisecond
	proposeTimeout = 2 * time.Second
)

// Proposer writes records to the control stream and reads its state.
type Proposer interface {
	Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error)
	State() *statemachine.State
}

// Allotter keeps the ledger's allotments in line with the control stream: it
// raises them toward this entry's part of each limit and gives up the rest.
type Allotter struct {
	self     string
	proposer Proposer
	ledger   *Ledger
	clock    clockwork.Clock
	logger   hclog.Logger
}

// NewAllotter returns the allotter of the entry incarnation.
func NewAllotter(self string, proposer Proposer, ledger *Ledger, clock clockwork.Clock, logger hclog.Logger) *Allotter {
	return &Allotter{self: self, proposer: proposer, ledger: ledger, clock: clock, logger: logger}
}

// Run adjusts the allotments until the context ends.
func (a *Allotter) Run(ctx context.Context) {
	ticker := a.clock.NewTicker(adjustInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			a.adjustAll(ctx)
		}
	}
}

func (a *Allotter) adjustAll(ctx context.Context) {
	state := a.proposer.State()
	if _, ok := state.Entries.Get(a.self); !ok {
		return
	}
	for team, workspace := range state.ByTeam.All() {
		a.adjust(ctx, state, team, workspace.Limit)
	}
}

// adjust proposes the difference between what the entry holds and its even
// part of the limit. It lowers the ledger before it gives anything up.
func (a *Allotter) adjust(ctx context.Context, state *statemachine.State, team string, limit int) {
	held := 0
	total := 0
	if allotments, ok := state.Allotments.Get(team); ok {
		held = allotments.ByEntry[a.self]
		total = allotments.Total()
	}
	wanted := EvenPart(state, a.self, limit)
	switch {
	case held < wanted && total < limit:
		a.propose(ctx, team, min(wanted-held, limit-total))
	case held > wanted:
		a.ledger.SetAllotted(team, wanted)
		unused := held - max(wanted, a.ledger.Usage(team).Running)
		if unused > 0 {
			a.propose(ctx, team, -unused)
		}
		return
	}
	a.ledger.SetAllotted(team, a.heldNow(team))
}

func (a *Allotter) heldNow(team string) int {
	allotments, ok := a.proposer.State().Allotments.Get(team)
	if !ok {
		return 0
	}
	return allotments.ByEntry[a.self]
}

func (a *Allotter) propose(ctx context.Context, team string, delta int) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := a.proposer.Propose(ctx, &statemachine.AllotmentAdjust{Team: team, Delta: delta})
	if err != nil {
		a.logger.Debug("allotment not adjusted", "team", team, "error", err.Error())
		return
	}
	if result.Void != nil {
		a.logger.Debug("allotment adjustment is void", "team", team, "reason", result.Void.Message)
	}
}

// EvenPart returns the entry's part of a limit that is divided evenly among
// the entries. The first entries in order get one more if it does not divide.
func EvenPart(state *statemachine.State, self string, limit int) int {
	rank, count := 0, 0
	for incarnation := range state.Entries.All() {
		if incarnation == self {
			rank = count
		}
		count++
	}
	if count == 0 {
		return 0
	}
	part := limit / count
	if rank < limit%count {
		part++
	}
	return part
}
