package entry

import (
	"context"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/quota"
)

// newLoanHandler answers the requests and returns of borrowers.
func newLoanHandler(id identity, lender *quota.Lender) peerRoute {
	return func(_ context.Context, req *peerpb.Request) *peerpb.Response {
		if loan := req.GetLoan(); loan != nil {
			granted := lender.Grant(loan.GetId(), loan.GetTeam(), int(loan.GetAmount()))
			return loanAnswer(id, loan.GetId(), loan.GetTeam(), granted)
		}
		if loan := req.GetLoanReturn(); loan != nil {
			lender.Return(loan.GetId(), int(loan.GetRemaining()))
			return loanAnswer(id, loan.GetId(), loan.GetTeam(), 0)
		}
		return nil
	}
}

func loanAnswer(id identity, loan, team string, granted int) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_Loan{Loan: &peerpb.Loan{
		Id: loan, Lender: id.incarnation, Team: team, Amount: int64(granted), TtlMs: quota.LoanTTL.Milliseconds(),
	}}}
}

// newLeavingStep takes the entry out of every majority and settles its loans
// before it leaves.
func newLeavingStep(d *describer, borrower *quota.Borrower, lender *quota.Lender) stopStep {
	return stopStep{name: "settle loans", run: func(ctx context.Context) error {
		d.leaving.Store(true)
		borrower.Close(ctx)
		return lender.Close(ctx)
	}}
}
