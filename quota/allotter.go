package quota

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"
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

	mu sync.Mutex
	// unsettled holds the teams with a lowering record whose outcome is not
	// known.
	unsettled map[string]bool

	// settled is the state in which no team needed a record, or nil. Only Run
	// uses it.
	settled *statemachine.State
}

// NewAllotter returns the allotter of the entry incarnation.
func NewAllotter(self string, proposer Proposer, ledger *Ledger, clock clockwork.Clock, logger hclog.Logger) *Allotter {
	return &Allotter{self: self, proposer: proposer, ledger: ledger, clock: clock, logger: logger, unsettled: make(map[string]bool)}
}

// Run adjusts the allotments until the context ends.
func (a *Allotter) Run(ctx context.Context) {
	periodic.Run(ctx, a.clock, adjustInterval, a.adjustAll)
}

// adjustAll adjusts the teams that need a record side by side, so that their
// records share appends. A state in which none did needs no second look.
func (a *Allotter) adjustAll(ctx context.Context) {
	state := a.proposer.State()
	if _, ok := state.Member(a.self); !ok || state == a.settled {
		return
	}
	var wg sync.WaitGroup
	settled := state
	for team, workspace := range state.WorkspaceByTeam.All() {
		if a.keep(state, team, workspace.Limit) {
			continue
		}
		settled = nil
		wg.Go(func() { a.adjust(ctx, state, team, workspace.Limit) })
	}
	wg.Wait()
	a.settled = settled
}

// keep sets the ledger to what the entry holds of the team's limit and reports
// true if that is its even part, and no record of the team is unsettled.
func (a *Allotter) keep(state *statemachine.State, team string, limit int) bool {
	held, _ := holding(state, team, a.self)
	if a.isUnsettled(team) || held != EvenAllotment(state, a.self, limit) {
		return false
	}
	a.ledger.SetAllotted(team, held)
	return true
}

// adjust proposes the difference between what the entry holds and its even
// part of the limit. It lowers the ledger before it gives anything up, and
// does not raise it while a record that gives up may still take effect.
func (a *Allotter) adjust(ctx context.Context, state *statemachine.State, team string, limit int) {
	held, total := holding(state, team, a.self)
	if a.isUnsettled(team) {
		a.settle(ctx, team, held)
		return
	}
	wanted := EvenAllotment(state, a.self, limit)
	if held > wanted {
		a.lower(ctx, team, held, wanted)
		return
	}
	if held < wanted && total < limit {
		_ = a.propose(ctx, team, held, min(wanted-held, limit-total))
		held, _ = holding(a.proposer.State(), team, a.self)
	}
	a.ledger.SetAllotted(team, held)
}

// lower gives up what the entry holds beyond wanted and does not use.
func (a *Allotter) lower(ctx context.Context, team string, held, wanted int) {
	a.ledger.SetAllotted(team, wanted)
	usage := a.ledger.Usage(team)
	unused := held - max(wanted, usage.Running+usage.Lent)
	if unused <= 0 {
		return
	}
	a.setUnsettled(team, true)
	a.settleAfter(team, a.propose(ctx, team, held, -unused))
}

// settle writes a record that changes nothing. Once it is read back, every
// earlier record of this writer has taken effect or is void for good.
func (a *Allotter) settle(ctx context.Context, team string, held int) {
	a.settleAfter(team, a.propose(ctx, team, held, 0))
}

func (a *Allotter) settleAfter(team string, err error) {
	if err == nil {
		a.setUnsettled(team, false)
	}
}

func (a *Allotter) isUnsettled(team string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unsettled[team]
}

func (a *Allotter) setUnsettled(team string, unsettled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if unsettled {
		a.unsettled[team] = true
		return
	}
	delete(a.unsettled, team)
}

// holding returns the entry's allotment of the team and the sum of all.
func holding(state *statemachine.State, team, entry string) (held, total int) {
	allotments, ok := state.Allotments.Get(team)
	if !ok {
		return 0, 0
	}
	return allotments.ByEntry[entry], allotments.Total()
}

// propose returns an error unless the record has been read back.
func (a *Allotter) propose(ctx context.Context, team string, held, delta int) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := a.proposer.Propose(ctx, &statemachine.AllotmentAdjust{Team: team, Held: held, Delta: delta})
	if err != nil {
		a.logger.Debug("allotment not adjusted", "team", team, "error", err.Error())
		return err
	}
	if result.Rejection != nil {
		a.logger.Debug("allotment adjustment is void", "team", team, "reason", result.Rejection.Message)
	}
	return nil
}

// EvenAllotment returns the entry's part of a limit that is divided evenly among
// the members. The first entries in order get one more if it does not divide.
func EvenAllotment(state *statemachine.State, self string, limit int) int {
	rank, count := 0, 0
	for incarnation := range state.Members() {
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
