package quota

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/bothclocks"
	"github.com/anvilcourse/anvilcourse/periodic"
)

const (
	// lendReserve is the part of its allotment, one in so many, that a lender
	// keeps free for its own callers.
	lendReserve    = 8
	lapseInterval  = 250 * time.Millisecond
	closePoll      = 20 * time.Millisecond
	maxLoanIDBytes = 64
)

// Lender lends parts of the ledger's allotments to other entries. A loan stays
// under the lender's name in the control stream.
type Lender struct {
	self     string
	proposer Proposer
	ledger   *Ledger
	permit   Permit
	surveyor *Surveyor
	bounds   ReclaimBounds
	clock    clockwork.Clock
	logger   hclog.Logger

	mu     sync.Mutex
	closed bool
	loans  map[string]*lent
}

// lent is a loan that has not come back.
type lent struct {
	team   string
	amount int
	ends   time.Time
	// refused is the team's count of refusals at the latest grant.
	refused int64
	vms     map[string]VMEvidence
}

// NewLender returns the lender of the entry incarnation.
func NewLender(self string, proposer Proposer, ledger *Ledger, permit Permit, surveyor *Surveyor, bounds ReclaimBounds, clock clockwork.Clock, logger hclog.Logger) *Lender {
	return &Lender{
		self: self, proposer: proposer, ledger: ledger, permit: permit, surveyor: surveyor, bounds: bounds, clock: clock, logger: logger,
		loans: make(map[string]*lent),
	}
}

// Grant lends up to the amount, or extends the loan of the ID, and returns
// what is lent, 0 for nothing. It lowers the ledger before it answers, so that
// a lost answer costs capacity until the loan has lapsed.
func (l *Lender) Grant(id, team string, amount int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || id == "" || len(id) > maxLoanIDBytes || !l.permit.MayUseAllotment() {
		return 0
	}
	if loan, ok := l.loans[id]; ok {
		return l.extend(loan, team)
	}
	usage := l.ledger.Usage(team)
	asked := amount
	amount = min(amount, usage.Spare()-usage.Allotted/lendReserve)
	if amount < asked {
		l.ledger.noteAsked(team, l.clock.Now())
	}
	if amount <= 0 || !l.ledger.Lend(team, amount) {
		return 0
	}
	l.loans[id] = &lent{team: team, amount: amount, ends: l.clock.Now().Add(LoanTTL), refused: usage.Refused, vms: make(map[string]VMEvidence)}
	return amount
}

// extend moves the end of a loan, unless it has ended or this entry has
// refused work of the team itself since the latest grant.
func (l *Lender) extend(loan *lent, team string) int {
	now := l.clock.Now()
	usage := l.ledger.Usage(team)
	if loan.team != team || !now.Before(loan.ends) || usage.Refused > loan.refused {
		return 0
	}
	loan.ends = now.Add(LoanTTL)
	return loan.amount
}

// Return takes back the loan but for what still runs under it. The borrower
// starts nothing more under the loan, so a repeated or late return changes
// nothing.
func (l *Lender) Return(id string, remaining int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reduce(id, remaining)
}

// reduce returns the loan but for the remaining amount to the entry's own use.
// l.mu is held.
func (l *Lender) reduce(id string, remaining int) {
	loan, ok := l.loans[id]
	if !ok || remaining < 0 || remaining >= loan.amount {
		return
	}
	l.ledger.ReturnLent(loan.team, loan.amount-remaining)
	loan.amount = remaining
	if remaining == 0 {
		delete(l.loans, id)
	}
}

// Close stops lending and waits until all loans are back. It fails once the
// context ends; then the entry must not give up its allotments.
func (l *Lender) Close(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for l.Outstanding() > 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("%d loans are not back", l.Outstanding())
		case <-l.clock.After(closePoll):
		}
	}
	return nil
}

// Outstanding is the number of loans that have not come back.
func (l *Lender) Outstanding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.loans)
}

// Run takes back the loans that have lapsed until the context ends.
func (l *Lender) Run(ctx context.Context) {
	periodic.Run(ctx, l.clock, lapseInterval, l.reclaim)
}

// reclaim asks the VMs for the loans that ended without a return, and takes
// back those under which nothing runs.
func (l *Lender) reclaim(ctx context.Context) {
	lapsed := l.lapsed()
	if len(lapsed) == 0 {
		return
	}
	ids, findings, err := l.surveyor.Survey(ctx, l.proposer.State(), func(string) bool { return false })
	if err != nil {
		l.logger.Debug("VM list not read", "error", err.Error())
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range lapsed {
		loan, ok := l.loans[id]
		if !ok {
			continue
		}
		loan.note(ids, findings, loanHolder(l.self, id))
		if l.bounds.LoanReclaimable(bothclocks.Min(l.clock.Now(), loan.ends), loan.evidence()) {
			l.logger.Warn("loan lapsed without a return", "loan", id, "team", loan.team, "amount", loan.amount)
			l.reduce(id, 0)
		}
	}
}

func (l *Lender) lapsed() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]bool)
	for id, loan := range l.loans {
		if bothclocks.Min(l.clock.Now(), loan.ends) >= l.bounds.LoanSurveyAfter() {
			out[id] = true
		}
	}
	return out
}

// note takes the findings of a survey into account.
func (l *lent) note(ids []string, findings []SurveyResult, holder string) {
	for _, id := range ids {
		if _, ok := l.vms[id]; !ok {
			l.vms[id] = VMEvidence{}
		}
	}
	for _, f := range findings {
		l.vms[f.VM] = VMEvidence{QueriedAfter: bothclocks.Min(f.QueriedAt, l.ends), Running: f.RunningByHolder[holder]}
	}
}

func (l *lent) evidence() []VMEvidence {
	out := make([]VMEvidence, 0, len(l.vms))
	for _, vm := range l.vms {
		out = append(out, vm)
	}
	return out
}
