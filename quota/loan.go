package quota

import "time"

const (
	// LoanTTL is the time to live of a loan, counted by the borrower from
	// before it asks and by the lender from when it grants.
	LoanTTL = 2 * time.Second
	// loanSeparator stands between the lender and the loan in a task's holder.
	loanSeparator = "/"
)

// loanHolder is the holder of the tasks that run under a loan.
func loanHolder(lender, id string) string {
	return lender + loanSeparator + id
}
