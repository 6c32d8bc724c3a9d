package entry

import (
	"context"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/quota"
)

// newLoanHandler handles the loan requests and returns of borrowers.
func newLoanHandler(id identity, lender *quota.Lender) peerRoute {
	return func(_ context.Context, req *peerpb.Request) *peerpb.Response {
		if loan := req.GetLoan(); loan != nil {
			granted := lender.Grant(loan.GetId(), loan.GetTeam(), int(loan.GetAmount()))
			return loanResponse(id, loan.GetId(), loan.GetTeam(), granted)
		}
		if loan := req.GetLoanReturn(); loan != nil {
			lender.Return(loan.GetId(), int(loan.GetRemaining()))
			return loanResponse(id, loan.GetId(), loan.GetTeam(), 0)
		}
		return nil
	}
}

func loanResponse(id identity, loan, team string, granted int) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_Loan{Loan: &peerpb.Loan{
		Id: loan, Lender: id.incarnation, Team: team, Amount: int64(granted), TtlMs: quota.LoanTTL.Milliseconds(),
	}}}
}

// newLeavingStep excludes the entry from every majority and settles its loans
// before it leaves the membership.
func newLeavingStep(d *heartbeatSource, borrower *quota.Borrower, lender *quota.Lender) stopStep {
	return stopStep{name: "settle loans", run: func(ctx context.Context) error {
		d.leaving.Store(true)
		borrower.Close(ctx)
		return lender.Close(ctx)
	}}
}
