package quota

import "time"

const (
	// LoanTTL is the time to live of a loan, counted by the borrower from
	// before its request and by the lender from its grant.
	LoanTTL = 2 * time.Second
	// loanSeparator separates the lender and the loan in a task's holder.
	loanSeparator = "/"
)

// loanHolder returns the holder of the tasks that run under a loan.
func loanHolder(lender, id string) string {
	return lender + loanSeparator + id
}
