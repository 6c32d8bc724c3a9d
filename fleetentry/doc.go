// Package fleetentry is the daemon of an entry on the users' platform. All entries
// are alike: each follows the ledger, accepts and answers calls, and stands by to
// lead the fleet. One entry at a time is the leader: it alone schedules, polls
// workers and requests moves and maintenance.
package fleetentry
