package quota

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Bounds are the times within which a holder stops using what it holds.
type Bounds struct {
	// Current is the age up to which a holder trusts its control state.
	Current time.Duration
	// SlotLease is the time to live of a slot lease.
	SlotLease time.Duration
	// Loan is the longest time to live of a loan.
	Loan time.Duration
	// Margin covers the drift between clocks.
	Margin time.Duration
	// UsageLag is the time by which a VM's record and the VM list lag.
	UsageLag time.Duration
}

// NoStartAfter is the time after which no task can start any more for a
// removed entry, counted from when it could find no majority: a borrower may
// have got a loan from it until its state was no longer current.
func (b Bounds) NoStartAfter() time.Duration {
	return b.Current + b.Loan + b.SlotLease + b.Margin
}

// ListAfter is the time after which a VM's record shows all starts.
func (b Bounds) ListAfter() time.Duration {
	return b.NoStartAfter() + b.UsageLag
}

// ClearStage is what the clearing of a removed entry waits for.
type ClearStage string

const (
	// ClearWaitsForMajority means that the entry may still find more than half
	// of the members it knows.
	ClearWaitsForMajority ClearStage = "majority"
	// ClearWaitsForLeases means that a start may still be on its way.
	ClearWaitsForLeases ClearStage = "leases"
	// ClearWaitsForVMs means that a VM has not shown yet that it runs nothing
	// for the entry.
	ClearWaitsForVMs ClearStage = "vms"
	// ClearReady means that nothing runs for the entry and nothing will.
	ClearReady ClearStage = "ready"
)

// VMEvidence is what is known of one VM.
type VMEvidence struct {
	// AskedAfter is when the VM's record or the VM list was asked for, counted
	// like ClearFacts.Waited, or 0 if never answered.
	AskedAfter time.Duration
	// Running counts the tasks that run for the entry.
	Running int
}

// ClearFacts is what an entry knows of a removed one.
type ClearFacts struct {
	// Electorate is that of the removed entry.
	Electorate statemachine.Electorate
	// Unconfirmed counts the entries, the removed one included, that joined
	// before the removal and are not known to have applied it.
	Unconfirmed int
	// Gone tells whether an operator has stated that the entry runs no more.
	Gone bool
	// Answers tells whether the entry still answers heartbeats.
	Answers bool
	// Waited is the time since the removed entry was first known to find no
	// majority or to be gone, by the slower of the wall and the monotonic clock.
	Waited time.Duration
	// VMs holds the evidence of every VM.
	VMs []VMEvidence
}

// mayWorkOn reports whether the entry may still find a majority. The word of an
// operator counts only while the entry is silent.
func (f ClearFacts) mayWorkOn() bool {
	if f.Gone && !f.Answers {
		return false
	}
	return f.Electorate.CanHaveMajority(f.Unconfirmed)
}

// Stage decides what the clearing waits for.
func (b Bounds) Stage(f ClearFacts) ClearStage {
	if f.mayWorkOn() {
		return ClearWaitsForMajority
	}
	if f.Waited < b.ListAfter() {
		return ClearWaitsForLeases
	}
	if !allEmpty(f.VMs, b.ListAfter()) {
		return ClearWaitsForVMs
	}
	return ClearReady
}

// Unconfirmed counts the entries, the removed one included, that joined before
// the removal and are not known to have applied it.
func Unconfirmed(state *statemachine.State, removed *statemachine.Entry, applied func(incarnation string) bool) int {
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

// sinceBoth is the smaller of the wall and the monotonic difference, for
// periods that must have passed by any clock.
func sinceBoth(now, then time.Time) time.Duration {
	return min(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// LoanListAfter is the time after the end of a loan from which a VM's record
// shows all starts under it.
func (b Bounds) LoanListAfter() time.Duration {
	return b.SlotLease + b.Margin + b.UsageLag
}

// LoanOver reports whether nothing runs under a loan that was not returned,
// and nothing will. Waited and the evidence are counted from the loan's end.
func (b Bounds) LoanOver(waited time.Duration, vms []VMEvidence) bool {
	return waited >= b.LoanListAfter() && allEmpty(vms, b.LoanListAfter())
}

// allEmpty reports whether every VM, asked late enough, ran nothing.
func allEmpty(vms []VMEvidence, after time.Duration) bool {
	for _, vm := range vms {
		if vm.Running > 0 || vm.AskedAfter < after {
			return false
		}
	}
	return true
}
