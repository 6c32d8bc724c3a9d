package quota

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ReclaimBounds are the times within which a holder stops using what it holds.
type ReclaimBounds struct {
	// MaxStateAge is the age up to which a holder trusts its control state.
	MaxStateAge time.Duration
	// SlotLeaseTTL is the time to live of a slot lease.
	SlotLeaseTTL time.Duration
	// LoanTTL is the longest time to live of a loan.
	LoanTTL time.Duration
	// ClockMargin covers the drift between clocks.
	ClockMargin time.Duration
	// UsageLag is the time by which a VM's record and the VM list lag.
	UsageLag time.Duration
}

// NoStartAfter is the time after which no task can start any more for a
// removed entry, counted from when it could find no majority: a borrower may
// have got a loan from it until its state was no longer current.
func (b ReclaimBounds) NoStartAfter() time.Duration {
	return b.MaxStateAge + b.LoanTTL + b.SlotLeaseTTL + b.ClockMargin
}

// SurveyAfter is the time after which a VM's record shows all starts.
func (b ReclaimBounds) SurveyAfter() time.Duration {
	return b.NoStartAfter() + b.UsageLag
}

// ReclaimStage is what the clearing of a removed entry waits for.
type ReclaimStage string

const (
	// ReclaimWaitsForMajority means that the entry may still find more than half
	// of the members it knows.
	ReclaimWaitsForMajority ReclaimStage = "majority"
	// ReclaimWaitsForLeases means that a start may still be on its way.
	ReclaimWaitsForLeases ReclaimStage = "leases"
	// ReclaimWaitsForVMs means that a VM has not shown yet that it runs nothing
	// for the entry.
	ReclaimWaitsForVMs ReclaimStage = "vms"
	// ReclaimReady means that nothing runs for the entry and nothing will.
	ReclaimReady ReclaimStage = "ready"
)

// VMEvidence is what is known of one VM.
type VMEvidence struct {
	// QueriedAfter is when the VM's record or the VM list was asked for, counted
	// like ClearFacts.Waited, or 0 if never answered.
	QueriedAfter time.Duration
	// Running counts the tasks that run for the entry.
	Running int
}

// ReclaimFacts is what an entry knows of a removed one.
type ReclaimFacts struct {
	// Electorate is that of the removed entry.
	Electorate statemachine.Electorate
	// Unconfirmed counts the entries, the removed one included, that joined
	// before the removal and are not known to have applied it.
	Unconfirmed int
	// RemovalConfirmed tells whether an operator has stated that the entry runs no more.
	RemovalConfirmed bool
	// Responsive tells whether the entry still answers heartbeats.
	Responsive bool
	// Elapsed is the time since the removed entry was first known to find no
	// majority or to be gone, by the slower of the wall and the monotonic clock.
	Elapsed time.Duration
	// VMs holds the evidence of every VM.
	VMs []VMEvidence
}

// mayWorkOn reports whether the entry may still find a majority. The word of an
// operator counts only while the entry is silent.
func (f ReclaimFacts) mayWorkOn() bool {
	if f.RemovalConfirmed && !f.Responsive {
		return false
	}
	return f.Electorate.CanHaveMajority(f.Unconfirmed)
}

// Stage decides what the clearing waits for.
func (b ReclaimBounds) Stage(f ReclaimFacts) ReclaimStage {
	if f.mayWorkOn() {
		return ReclaimWaitsForMajority
	}
	if f.Elapsed < b.SurveyAfter() {
		return ReclaimWaitsForLeases
	}
	if !allEmpty(f.VMs, b.SurveyAfter()) {
		return ReclaimWaitsForVMs
	}
	return ReclaimReady
}

// CountUnconfirmed counts the entries, the removed one included, that joined before
// the removal and are not known to have applied it.
func CountUnconfirmed(state *statemachine.State, removed *statemachine.Entry, applied func(incarnation string) bool) int {
	count := 0
	for incarnation, entry := range state.Entries.All() {
		if entry.JoinedAt > removed.RemovedAt {
			continue
		}
		if incarnation == removed.Incarnation || !applied(incarnation) {
			count++
		}
	}
	return count
}

// LoanSurveyAfter is the time after the end of a loan from which a VM's record
// shows all starts under it.
func (b ReclaimBounds) LoanSurveyAfter() time.Duration {
	return b.SlotLeaseTTL + b.ClockMargin + b.UsageLag
}

// LoanReclaimable reports whether nothing runs under a loan that was not returned,
// and nothing will. Waited and the evidence are counted from the loan's end.
func (b ReclaimBounds) LoanReclaimable(waited time.Duration, vms []VMEvidence) bool {
	return waited >= b.LoanSurveyAfter() && allEmpty(vms, b.LoanSurveyAfter())
}

// allEmpty reports whether every VM, asked late enough, ran nothing.
func allEmpty(vms []VMEvidence, after time.Duration) bool {
	for _, vm := range vms {
		if vm.Running > 0 || vm.QueriedAfter < after {
			return false
		}
	}
	return true
}
