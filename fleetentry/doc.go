// Package fleetentry is the daemon of an entry on the users' platform. Every
// entry is alike: it follows the ledger, accepts and answers calls, and stands
// by to own the fleet. One entry at a time owns the fleet: it alone schedules,
// looks at workers and orders moves and maintenance.
package fleetentry
