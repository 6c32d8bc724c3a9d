// Package quarantine keeps new work away from targets that fail everything, by
// records in the control stream that the budgets of pools and availability
// zones may reject, and returns the verdicts on jobs that fail.
package quarantine
