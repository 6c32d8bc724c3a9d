package quota

import "time"

// LoanTTL is the time to live of a loan, counted by the borrower from before
// it asks and by the lender from when it grants.
const LoanTTL = 2 * time.Second
