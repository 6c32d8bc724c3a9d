package quota

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/periodic"
)

const (
	// lendReserveDivisor gives the part of its allotment, one in so many, that
	// a lender reserves for its own clients.
	lendReserveDivisor = 8
	expiryInterval     = 250 * time.Millisecond
	closePollInterval  = 20 * time.Millisecond
	maxLoanIDBytes     = 64
)

// Lender lends parts of the ledger's allotments to other entries. A loan
// remains part of the lender's allotment in the control stream.
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
	loans  map[string]*lentLoan
}

// lentLoan is a loan that is not fully returned.
type lentLoan struct {
	team      string
	amount    int
	expiresAt time.Time
	// refusedAtGrant is the team's count of refusals at the latest grant.
	refusedAtGrant int64
	vms            map[string]VMEvidence
}

// NewLender returns the lender of the entry incarnation.
func NewLender(self string, proposer Proposer, ledger *Ledger, permit Permit, surveyor *Surveyor, bounds ReclaimBounds, clock clockwork.Clock, logger hclog.Logger) *Lender {
	return &Lender{
		self: self, proposer: proposer, ledger: ledger, permit: permit, surveyor: surveyor, bounds: bounds, clock: clock, logger: logger,
		loans: make(map[string]*lentLoan),
	}
}

// Grant lends up to the amount, or extends the loan of the ID, and returns the
// granted amount, or 0. It lowers the ledger before it replies, so that a lost
// reply costs capacity until the loan has expired.
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
	requested := amount
	amount = min(amount, usage.Spare()-usage.Allotted/lendReserveDivisor)
	if amount < requested {
		l.ledger.recordUnmetRequest(team, l.clock.Now())
	}
	if amount <= 0 || !l.ledger.Lend(team, amount) {
		return 0
	}
	l.loans[id] = &lentLoan{team: team, amount: amount, expiresAt: l.clock.Now().Add(LoanTTL), refusedAtGrant: usage.Refused, vms: make(map[string]VMEvidence)}
	return amount
}

// extend moves the expiry of a loan, unless it has expired or this entry has
// refused work of the team since the latest grant.
func (l *Lender) extend(loan *lentLoan, team string) int {
	now := l.clock.Now()
	usage := l.ledger.Usage(team)
	if loan.team != team || !now.Before(loan.expiresAt) || usage.Refused > loan.refusedAtGrant {
		return 0
	}
	loan.expiresAt = now.Add(LoanTTL)
	return loan.amount
}

// Return takes back the loan except for the remaining amount. The borrower
// starts no more tasks under the returned part, so a repeated or late return
// has no effect.
func (l *Lender) Return(id string, remaining int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reduceLoan(id, remaining)
}

// reduceLoan returns the loan except for the remaining amount to the entry's
// own use. l.mu is held.
func (l *Lender) reduceLoan(id string, remaining int) {
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

// Close stops lending and waits until all loans are returned. It fails once
// the context ends; then the entry must not release its allotments.
func (l *Lender) Close(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for l.Outstanding() > 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("%d loans have not been returned", l.Outstanding())
		case <-l.clock.After(closePollInterval):
		}
	}
	return nil
}

// Outstanding is the number of loans that are not fully returned.
func (l *Lender) Outstanding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.loans)
}

// Run reclaims expired loans until the context ends.
func (l *Lender) Run(ctx context.Context) {
	periodic.Run(ctx, l.clock, expiryInterval, l.reclaimExpired)
}

// reclaimExpired surveys the VMs for loans that expired without a return, and
// takes back those under which no task runs.
func (l *Lender) reclaimExpired(ctx context.Context) {
	expiredLoans := l.expiredLoans()
	if len(expiredLoans) == 0 {
		return
	}
	vmIDs, results, err := l.surveyor.Survey(ctx, l.proposer.State(), func(string) bool { return false })
	if err != nil {
		l.logger.Debug("failed to read the VM list", "error", err.Error())
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range expiredLoans {
		loan, ok := l.loans[id]
		if !ok {
			continue
		}
		loan.recordSurvey(vmIDs, results, loanHolder(l.self, id))
		if l.bounds.LoanReclaimable(elapsed.Min(l.clock.Now(), loan.expiresAt), loan.evidence()) {
			l.logger.Warn("loan expired without a return", "loan", id, "team", loan.team, "amount", loan.amount)
			l.reduceLoan(id, 0)
		}
	}
}

func (l *Lender) expiredLoans() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]bool)
	for id, loan := range l.loans {
		if elapsed.Min(l.clock.Now(), loan.expiresAt) >= l.bounds.LoanSurveyAfter() {
			out[id] = true
		}
	}
	return out
}

// recordSurvey updates the evidence with the results of a survey.
func (l *lentLoan) recordSurvey(vmIDs []string, results []SurveyResult, holder string) {
	for _, id := range vmIDs {
		if _, ok := l.vms[id]; !ok {
			l.vms[id] = VMEvidence{}
		}
	}
	for _, result := range results {
		l.vms[result.VM] = VMEvidence{QueriedAfter: elapsed.Min(result.QueriedAt, l.expiresAt), Running: result.RunningByHolder[holder]}
	}
}

func (l *lentLoan) evidence() []VMEvidence {
	out := make([]VMEvidence, 0, len(l.vms))
	for _, vm := range l.vms {
		out = append(out, vm)
	}
	return out
}
