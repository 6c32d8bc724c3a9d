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
	// refusalsPerRequest is about how often a request that waits for a unit is
	// refused in one interval.
	refusalsPerRequest = 10
	// askedFor keeps further requests away from a lender that was just asked.
	askedFor = 100 * time.Millisecond
	// recallFor is how long a request that could not be met makes this entry
	// return what it has borrowed and does not use.
	recallFor = 200 * time.Millisecond
	// lendersPerRound bounds the lenders that one round asks for a team.
	lendersPerRound = 3
	// extendBefore is the time before its end at which a used loan is extended.
	extendBefore = time.Second
	// idleLoanFor is the time after which an unused loan is returned.
	idleLoanFor = 500 * time.Millisecond
	// returnFor is the time after its end for which a return is tried. After
	// that the lender finds out from the VMs.
	returnFor = 10 * time.Second
)

// Borrower borrows allotment from other entries when this entry refuses work
// for lack of it, and returns what it does not use.
type Borrower struct {
	self   string
	ledger *Ledger
	peers  Peers
	caller Caller
	clock  clockwork.Clock

	sequence uint64
	refused  map[string]int64
	// lacked is when the entry last refused work, by team.
	lacked map[string]time.Time
	asked  map[string]time.Time
}

// NewBorrower returns the borrower of the entry incarnation.
func NewBorrower(self string, ledger *Ledger, peers Peers, caller Caller, clock clockwork.Clock) *Borrower {
	return &Borrower{self: self, ledger: ledger, peers: peers, caller: caller, clock: clock, refused: make(map[string]int64), lacked: make(map[string]time.Time), asked: make(map[string]time.Time)}
}

// Run borrows and returns until the context ends.
func (b *Borrower) Run(ctx context.Context) {
	periodic.Run(ctx, b.clock, borrowInterval, b.once)
}

// once does what is due. Its calls run side by side and end within
// borrowTimeout.
func (b *Borrower) once(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for team, usage := range b.ledger.UsageByTeam() {
		for _, loan := range b.ledger.loansOf(team) {
			if due := b.due(loan); due != nil {
				wg.Go(func() { due(ctx, loan) })
			}
		}
		want := b.wanted(team, usage)
		for _, lender := range b.choose(team, want) {
			id := b.nextID()
			wg.Go(func() { b.borrow(ctx, id, team, lender, want) })
		}
	}
	wg.Wait()
}

// wanted estimates how many units the team lacks from its refusals since the
// last round.
func (b *Borrower) wanted(team string, usage Usage) int {
	refused := usage.Refused - b.refused[team]
	b.refused[team] = usage.Refused
	if refused <= 0 {
		return 0
	}
	b.lacked[team] = b.clock.Now()
	return 1 + 2*int(refused)/refusalsPerRequest
}

// choose returns the lenders to ask: those in the same availability zone
// first, then those with most to spare. One that has nothing to spare, as far
// as its latest heartbeat tells, is asked too: the request makes it return what
// it has borrowed and does not use.
func (b *Borrower) choose(team string, want int) []Peer {
	if want == 0 {
		return nil
	}
	now := b.clock.Now()
	maps.DeleteFunc(b.asked, func(_ string, at time.Time) bool { return now.Sub(at) >= askedFor })
	lenders := slices.DeleteFunc(b.peers.Lenders(team), func(p Peer) bool {
		_, asked := b.asked[p.Incarnation+loanSeparator+team]
		return asked
	})
	slices.SortFunc(lenders, comparePeers)
	lenders = lenders[:min(len(lenders), lendersPerRound)]
	for _, p := range lenders {
		b.asked[p.Incarnation+loanSeparator+team] = now
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

// borrow asks the lender and lets tasks start under what it grants. The loan
// ends LoanTTL after the request was sent, before the lender counts its end.
func (b *Borrower) borrow(ctx context.Context, id, team string, lender Peer, want int) {
	sent := b.clock.Now()
	granted := b.request(ctx, id, team, lender, amountOf(want, lender))
	if granted <= 0 {
		return
	}
	loan := &borrowed{id: id, team: team, lender: lender, holder: loanHolder(lender.Incarnation, id), usedAt: sent, told: granted, reported: -1}
	loan.amount.Store(int64(granted))
	ends := sent.Add(LoanTTL)
	loan.ends.Store(&ends)
	b.ledger.addLoan(loan)
}

// amountOf is the amount to ask the lender for.
func amountOf(want int, lender Peer) int {
	if lender.Spare <= 0 {
		return want
	}
	return min(want, lender.Spare)
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

// due returns what is due for the loan, or nil.
func (b *Borrower) due(loan *borrowed) func(context.Context, *borrowed) {
	now := b.clock.Now()
	if loan.running.Load() > 0 {
		loan.usedAt = now
	}
	idle := now.Sub(loan.usedAt) > idleLoanFor
	switch {
	case loan.amount.Load() == 0 || loan.ended(now) || idle:
		if loan.close() == loan.reported {
			return nil
		}
		return b.giveBack
	case b.recalled(loan, now):
		return b.shrink
	case loan.ended(now.Add(extendBefore)):
		return b.extend
	default:
		return nil
	}
}

// recalled reports whether the loan has units that another entry lacks and this
// one does not, or whether the lender does not know of a lowered loan yet.
func (b *Borrower) recalled(loan *borrowed, now time.Time) bool {
	if int(loan.amount.Load()) < loan.told {
		return true
	}
	since := now.Add(-recallFor)
	return loan.unused() && b.ledger.askedSince(loan.team, since) && b.lacked[loan.team].Before(since)
}

// shrink returns the part of the loan under which nothing runs.
func (b *Borrower) shrink(ctx context.Context, loan *borrowed) {
	remaining := loan.shrink()
	if remaining == 0 {
		b.giveBack(ctx, loan)
		return
	}
	if b.returnTo(ctx, loan, remaining) {
		loan.told = remaining
	}
}

// returnTo tells the lender what it gets back no more, and reports whether it
// has answered.
func (b *Borrower) returnTo(ctx context.Context, loan *borrowed, remaining int) bool {
	resp, err := b.caller.Call(ctx, loan.lender.Address, &peerpb.Request{Body: &peerpb.Request_LoanReturn{LoanReturn: &peerpb.LoanReturn{
		Id: loan.id, Team: loan.team, Remaining: int64(remaining),
	}}})
	return err == nil && resp.GetLoan().GetId() == loan.id
}

// extend asks the lender to move the end of the loan.
func (b *Borrower) extend(ctx context.Context, loan *borrowed) {
	sent := b.clock.Now()
	amount := int(loan.amount.Load())
	if b.request(ctx, loan.id, loan.team, loan.lender, amount) != amount {
		return
	}
	ends := sent.Add(LoanTTL)
	loan.ends.Store(&ends)
}

// giveBack tells the lender what still runs under a loan that is closed.
func (b *Borrower) giveBack(ctx context.Context, loan *borrowed) {
	remaining := loan.close()
	answered := b.returnTo(ctx, loan, remaining)
	if answered {
		loan.reported = remaining
	}
	if remaining == 0 && (answered || b.clock.Now().Sub(*loan.ends.Load()) > returnFor) {
		b.ledger.dropLoan(loan)
	}
}

// Close ends all loans.
func (b *Borrower) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for team := range b.ledger.UsageByTeam() {
		for _, loan := range b.ledger.loansOf(team) {
			b.giveBack(ctx, loan)
		}
	}
}
