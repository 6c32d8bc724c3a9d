package quota

import (
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ReclaimBounds are the times within which a holder stops using its allotment.
type ReclaimBounds struct {
	// MaxStateAge is the maximum age at which a holder trusts its control state.
	MaxStateAge time.Duration
	// SlotLeaseTTL is the time to live of a slot lease.
	SlotLeaseTTL time.Duration
	// LoanTTL is the maximum time to live of a loan.
	LoanTTL time.Duration
	// ClockMargin covers the drift between clocks.
	ClockMargin time.Duration
	// UsageLag is the maximum lag of a VM's task list and of the VM list.
	UsageLag time.Duration
}

// NoStartAfter is the time after which no task can start for a removed entry,
// counted from when it could reach no majority: it may have granted a loan to
// a borrower until its state was no longer current.
func (b ReclaimBounds) NoStartAfter() time.Duration {
	return b.MaxStateAge + b.LoanTTL + b.SlotLeaseTTL + b.ClockMargin
}

// SurveyAfter is the time after which a VM's task list shows all starts.
func (b ReclaimBounds) SurveyAfter() time.Duration {
	return b.NoStartAfter() + b.UsageLag
}

// ReclaimStage is what the reclamation for a removed entry waits for.
type ReclaimStage string

const (
	// ReclaimWaitsForMajority means that the entry may still reach more than
	// half of the members it knows.
	ReclaimWaitsForMajority ReclaimStage = "majority"
	// ReclaimWaitsForLeases means that a start may still be in flight.
	ReclaimWaitsForLeases ReclaimStage = "leases"
	// ReclaimWaitsForVMs means that a VM may still run tasks for the entry.
	ReclaimWaitsForVMs ReclaimStage = "vms"
	// ReclaimReady means that no task runs for the entry and none will start.
	ReclaimReady ReclaimStage = "ready"
)

// VMEvidence is the latest survey result of one VM.
type VMEvidence struct {
	// QueriedAfter is when the VM or the VM list was queried, counted like
	// ReclaimFacts.Elapsed, or 0 if there was no response.
	QueriedAfter time.Duration
	// Running counts the tasks that run under the surveyed allotment or loan.
	Running int
}

// ReclaimFacts is what an entry knows about a removed one.
type ReclaimFacts struct {
	// Electorate is the electorate of the removed entry.
	Electorate statemachine.Electorate
	// Unconfirmed counts the entries, including the removed one, that joined
	// before the removal and are not known to have applied it.
	Unconfirmed int
	// RemovalConfirmed reports whether an operator has confirmed that the
	// entry no longer runs.
	RemovalConfirmed bool
	// Responsive reports whether the entry still responds to heartbeats.
	Responsive bool
	// Elapsed is the time since the entry was first known to reach no majority
	// or to have stopped, by the slower of the wall and the monotonic clock.
	Elapsed time.Duration
	// VMs holds the evidence of every VM.
	VMs []VMEvidence
}

// mayHaveMajority reports whether the entry may still reach a majority. The
// operator's confirmation counts only while the entry does not respond.
func (f ReclaimFacts) mayHaveMajority() bool {
	if f.RemovalConfirmed && !f.Responsive {
		return false
	}
	return f.Electorate.CanHaveMajority(f.Unconfirmed)
}

// Stage returns what the reclamation waits for.
func (b ReclaimBounds) Stage(facts ReclaimFacts) ReclaimStage {
	if facts.mayHaveMajority() {
		return ReclaimWaitsForMajority
	}
	if facts.Elapsed < b.SurveyAfter() {
		return ReclaimWaitsForLeases
	}
	if !allIdle(facts.VMs, b.SurveyAfter()) {
		return ReclaimWaitsForVMs
	}
	return ReclaimReady
}

// CountUnconfirmed counts the entries, including the removed one, that joined
// before the removal and are not known to have applied it.
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

// LoanSurveyAfter is the time after the expiry of a loan from which a VM's task
// list shows all starts under it.
func (b ReclaimBounds) LoanSurveyAfter() time.Duration {
	return b.SlotLeaseTTL + b.ClockMargin + b.UsageLag
}

// LoanReclaimable reports whether no task runs or will start under a loan that
// was not returned. The times are counted from the loan's expiry.
func (b ReclaimBounds) LoanReclaimable(elapsed time.Duration, vms []VMEvidence) bool {
	return elapsed >= b.LoanSurveyAfter() && allIdle(vms, b.LoanSurveyAfter())
}

// allIdle reports whether every VM ran no task when queried late enough.
func allIdle(vms []VMEvidence, after time.Duration) bool {
	for _, vm := range vms {
		if vm.Running > 0 || vm.QueriedAfter < after {
			return false
		}
	}
	return true
}
