package quota

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

const (
	borrowInterval = 50 * time.Millisecond
	borrowTimeout  = 300 * time.Millisecond
	// refusalsPerWaitingRequest is about how often one request that waits for
	// a unit is refused per interval.
	refusalsPerWaitingRequest = 10
	// requestCooldown is the minimum interval between a team's requests to one
	// lender.
	requestCooldown = 100 * time.Millisecond
	// recallPeriod is how long after an unmet request from another entry this
	// one returns its unused loans.
	recallPeriod = 200 * time.Millisecond
	// lendersPerRound limits the lenders that one round queries for a team.
	lendersPerRound = 3
	// extensionLead is how long before its expiry a used loan is extended.
	extensionLead = time.Second
	// idleLoanTimeout is the time after which an unused loan is returned.
	idleLoanTimeout = 500 * time.Millisecond
	// returnTimeout is how long after the expiry a return is retried. After
	// that the lender reclaims the loan by a survey of the VMs.
	returnTimeout = 10 * time.Second
)

// Borrower borrows allotment from other entries when this entry refuses work
// for lack of it, and returns the unused part.
type Borrower struct {
	self   string
	ledger *Ledger
	peers  Peers
	caller Caller
	clock  clockwork.Clock

	sequence uint64
	// refused is the count of refusals as of the last round, by team.
	refused map[string]int64
	// lastShortageAt is when the entry last refused work, by team.
	lastShortageAt map[string]time.Time
	// requested is when a lender last got a request, by lender and team.
	requested map[string]time.Time
}

// NewBorrower returns the borrower of the entry incarnation.
func NewBorrower(self string, ledger *Ledger, peers Peers, caller Caller, clock clockwork.Clock) *Borrower {
	return &Borrower{self: self, ledger: ledger, peers: peers, caller: caller, clock: clock, refused: make(map[string]int64), lastShortageAt: make(map[string]time.Time), requested: make(map[string]time.Time)}
}

// Run borrows and returns allotment until the context ends.
func (b *Borrower) Run(ctx context.Context) {
	periodic.Run(ctx, b.clock, borrowInterval, b.runRound)
}

// runRound runs all due actions. Its calls run in parallel and end within
// borrowTimeout.
func (b *Borrower) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for team, usage := range b.ledger.UsageByTeam() {
		for _, loan := range b.ledger.loansOf(team) {
			if dueAction := b.dueAction(loan); dueAction != nil {
				wg.Go(func() { dueAction(ctx, loan) })
			}
		}
		shortage := b.estimateShortage(team, usage)
		for _, lender := range b.chooseLenders(team, shortage) {
			id := b.nextID()
			wg.Go(func() { b.borrow(ctx, id, team, lender, shortage) })
		}
	}
	wg.Wait()
}

// estimateShortage estimates how many units the team lacks from its refusals
// since the last round.
func (b *Borrower) estimateShortage(team string, usage Usage) int {
	refused := usage.Refused - b.refused[team]
	b.refused[team] = usage.Refused
	if refused <= 0 {
		return 0
	}
	b.lastShortageAt[team] = b.clock.Now()
	return 1 + 2*int(refused)/refusalsPerWaitingRequest
}

// chooseLenders returns the lenders to query: those in the same availability
// zone first, then by spare allotment. A lender whose latest heartbeat
// advertises none comes last, but is queried too: the request makes it return
// its unused loans.
func (b *Borrower) chooseLenders(team string, shortage int) []Peer {
	if shortage == 0 {
		return nil
	}
	now := b.clock.Now()
	maps.DeleteFunc(b.requested, func(_ string, at time.Time) bool { return now.Sub(at) >= requestCooldown })
	lenders := slices.DeleteFunc(b.peers.Lenders(team), func(p Peer) bool {
		_, requested := b.requested[p.Incarnation+loanSeparator+team]
		return requested
	})
	slices.SortFunc(lenders, comparePeers)
	lenders = lenders[:min(len(lenders), lendersPerRound)]
	for _, p := range lenders {
		b.requested[p.Incarnation+loanSeparator+team] = now
	}
	return lenders
}

func comparePeers(a, b Peer) int {
	if (a.Spare > 0) != (b.Spare > 0) {
		return cmp.Compare(b.Spare, a.Spare)
	}
	if a.SameZone != b.SameZone {
		if a.SameZone {
			return -1
		}
		return 1
	}
	return b.Spare - a.Spare
}

func (b *Borrower) nextID() string {
	b.sequence++
	return b.self + "-" + strconv.FormatUint(b.sequence, 36)
}

// borrow requests a loan and makes the granted amount available. The loan
// expires LoanTTL after the request was sent, before it does for the lender.
func (b *Borrower) borrow(ctx context.Context, id, team string, lender Peer, shortage int) {
	sentAt := b.clock.Now()
	granted := b.request(ctx, id, team, lender, requestAmount(shortage, lender))
	if granted <= 0 {
		return
	}
	loan := &borrowedLoan{id: id, team: team, lender: lender, holder: loanHolder(lender.Incarnation, id), lastUsedAt: sentAt, acknowledgedAmount: granted, reportedRunning: -1}
	loan.amount.Store(int64(granted))
	expiresAt := sentAt.Add(LoanTTL)
	loan.expiresAt.Store(&expiresAt)
	b.ledger.addLoan(loan)
}

// requestAmount returns the amount to request from the lender.
func requestAmount(shortage int, lender Peer) int {
	if lender.Spare <= 0 {
		return shortage
	}
	return min(shortage, lender.Spare)
}

// request sends one loan request and returns the granted amount.
func (b *Borrower) request(ctx context.Context, id, team string, lender Peer, amount int) int {
	resp, err := b.caller.Call(ctx, lender.Address, &peerpb.Request{Body: &peerpb.Request_Loan{Loan: &peerpb.LoanRequest{
		Borrower: b.self, Id: id, Team: team, Amount: int64(amount),
	}}})
	if err != nil {
		return 0
	}
	loan := resp.GetLoan()
	if loan.GetId() != id || loan.GetLender() != lender.Incarnation {
		return 0
	}
	return int(min(loan.GetAmount(), int64(amount)))
}

// dueAction returns the action that is due for the loan, or nil.
func (b *Borrower) dueAction(loan *borrowedLoan) func(context.Context, *borrowedLoan) {
	now := b.clock.Now()
	if loan.running.Load() > 0 {
		loan.lastUsedAt = now
	}
	idle := now.Sub(loan.lastUsedAt) > idleLoanTimeout
	switch {
	case loan.amount.Load() == 0 || loan.expired(now) || idle:
		if loan.close() == loan.reportedRunning {
			return nil
		}
		return b.returnLoan
	case b.isRecalled(loan, now):
		return b.shrink
	case loan.expired(now.Add(extensionLead)):
		return b.extend
	default:
		return nil
	}
}

// isRecalled reports whether the loan has unused units that another entry lacks
// and this one does not, or a lowered amount that is not acknowledged yet.
func (b *Borrower) isRecalled(loan *borrowedLoan, now time.Time) bool {
	if int(loan.amount.Load()) < loan.acknowledgedAmount {
		return true
	}
	since := now.Add(-recallPeriod)
	return loan.hasUnused() && b.ledger.hasUnmetRequestSince(loan.team, since) && b.lastShortageAt[loan.team].Before(since)
}

// shrink returns the unused part of the loan to the lender.
func (b *Borrower) shrink(ctx context.Context, loan *borrowedLoan) {
	remaining := loan.shrink()
	if remaining == 0 {
		b.returnLoan(ctx, loan)
		return
	}
	if b.sendReturn(ctx, loan, remaining) {
		loan.acknowledgedAmount = remaining
	}
}

// sendReturn sends the lender the amount that is not returned yet, and reports
// whether it has replied.
func (b *Borrower) sendReturn(ctx context.Context, loan *borrowedLoan, remaining int) bool {
	resp, err := b.caller.Call(ctx, loan.lender.Address, &peerpb.Request{Body: &peerpb.Request_LoanReturn{LoanReturn: &peerpb.LoanReturn{
		Id: loan.id, Team: loan.team, Remaining: int64(remaining),
	}}})
	return err == nil && resp.GetLoan().GetId() == loan.id
}

// extend requests a later expiry of the loan.
func (b *Borrower) extend(ctx context.Context, loan *borrowedLoan) {
	sentAt := b.clock.Now()
	amount := int(loan.amount.Load())
	if b.request(ctx, loan.id, loan.team, loan.lender, amount) != amount {
		return
	}
	expiresAt := sentAt.Add(LoanTTL)
	loan.expiresAt.Store(&expiresAt)
}

// returnLoan closes the loan and reports to the lender what still runs under it.
func (b *Borrower) returnLoan(ctx context.Context, loan *borrowedLoan) {
	remaining := loan.close()
	answered := b.sendReturn(ctx, loan, remaining)
	if answered {
		loan.reportedRunning = remaining
	}
	if remaining == 0 && (answered || b.clock.Now().Sub(*loan.expiresAt.Load()) > returnTimeout) {
		b.ledger.removeLoan(loan)
	}
}

// Close closes and returns all loans.
func (b *Borrower) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for team := range b.ledger.UsageByTeam() {
		for _, loan := range b.ledger.loansOf(team) {
			b.returnLoan(ctx, loan)
		}
	}
}
