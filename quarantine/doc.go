// Package quarantine keeps targets that fail everything from new work, by
// records in the control stream that the budgets of pools and availability
// zones may refuse, and gives the verdicts on jobs that fail.
package quarantine
