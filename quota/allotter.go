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

// Allotter reconciles the ledger's allotments with the control stream: it
// raises them to this entry's part of each limit and releases the rest.
type Allotter struct {
	self     string
	proposer Proposer
	ledger   *Ledger
	clock    clockwork.Clock
	logger   hclog.Logger

	mu sync.Mutex
	// inDoubt holds the teams with a lowering record whose outcome is unknown.
	inDoubt map[string]bool

	// converged is the state in which no team needed a record, or nil. Only Run
	// uses it.
	converged *statemachine.State
}

// NewAllotter returns the allotter of the entry incarnation.
func NewAllotter(self string, proposer Proposer, ledger *Ledger, clock clockwork.Clock, logger hclog.Logger) *Allotter {
	return &Allotter{self: self, proposer: proposer, ledger: ledger, clock: clock, logger: logger, inDoubt: make(map[string]bool)}
}

// Run adjusts the allotments until the context ends.
func (a *Allotter) Run(ctx context.Context) {
	periodic.Run(ctx, a.clock, adjustInterval, a.adjustAll)
}

// adjustAll adjusts the teams that need a record in parallel, so that their
// records share appends. A state in which none did is not checked again.
func (a *Allotter) adjustAll(ctx context.Context) {
	state := a.proposer.State()
	if _, ok := state.Member(a.self); !ok || state == a.converged {
		return
	}
	var wg sync.WaitGroup
	converged := state
	for team, workspace := range state.WorkspaceByTeam.All() {
		if a.syncIfConverged(state, team, workspace.Limit) {
			continue
		}
		converged = nil
		wg.Go(func() { a.adjust(ctx, state, team, workspace.Limit) })
	}
	wg.Wait()
	a.converged = converged
}

// syncIfConverged sets the ledger to the entry's allotment and reports true if
// that is its even part of the limit and no record of the team is in doubt.
func (a *Allotter) syncIfConverged(state *statemachine.State, team string, limit int) bool {
	held, _ := allotmentOf(state, team, a.self)
	if a.isInDoubt(team) || held != EvenAllotment(state, a.self, limit) {
		return false
	}
	a.ledger.SetAllotted(team, held)
	return true
}

// adjust proposes the difference between the entry's allotment and its even
// part of the limit. It lowers the ledger before it releases allotment, and
// does not raise it while a lowering record may still take effect.
func (a *Allotter) adjust(ctx context.Context, state *statemachine.State, team string, limit int) {
	held, total := allotmentOf(state, team, a.self)
	if a.isInDoubt(team) {
		a.resolve(ctx, team, held)
		return
	}
	desired := EvenAllotment(state, a.self, limit)
	if held > desired {
		a.lowerAllotment(ctx, team, held, desired)
		return
	}
	if held < desired && total < limit {
		_ = a.propose(ctx, team, held, min(desired-held, limit-total))
		held, _ = allotmentOf(a.proposer.State(), team, a.self)
	}
	a.ledger.SetAllotted(team, held)
}

// lowerAllotment releases the unused allotment in excess of the desired one.
func (a *Allotter) lowerAllotment(ctx context.Context, team string, held, desired int) {
	a.ledger.SetAllotted(team, desired)
	usage := a.ledger.Usage(team)
	unused := held - max(desired, usage.Running+usage.Lent)
	if unused <= 0 {
		return
	}
	a.setInDoubt(team, true)
	a.resolveIfWritten(team, a.propose(ctx, team, held, -unused))
}

// resolve writes a no-op record. Once it is read back, every earlier record
// of this writer has either taken effect or been rejected for good.
func (a *Allotter) resolve(ctx context.Context, team string, held int) {
	a.resolveIfWritten(team, a.propose(ctx, team, held, 0))
}

func (a *Allotter) resolveIfWritten(team string, err error) {
	if err == nil {
		a.setInDoubt(team, false)
	}
}

func (a *Allotter) isInDoubt(team string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inDoubt[team]
}

func (a *Allotter) setInDoubt(team string, inDoubt bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if inDoubt {
		a.inDoubt[team] = true
		return
	}
	delete(a.inDoubt, team)
}

// allotmentOf returns the entry's allotment of the team and the sum of all.
func allotmentOf(state *statemachine.State, team, entry string) (held, total int) {
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
		a.logger.Debug("failed to adjust allotment", "team", team, "error", err.Error())
		return err
	}
	if result.Rejection != nil {
		a.logger.Debug("allotment adjustment rejected", "team", team, "reason", result.Rejection.Message)
	}
	return nil
}

// EvenAllotment returns the entry's part of a limit that is divided evenly
// among the members. The first members get one more each for the remainder.
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
