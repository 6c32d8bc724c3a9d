package statemachine

import "fmt"

// Reason classifies the rejection of a record.
type Reason string

const (
	// ReasonVersion means that the record expects another version.
	ReasonVersion Reason = "version_mismatch"
	// ReasonNotFound means that the record refers to something that does not
	// exist.
	ReasonNotFound Reason = "not_found"
	// ReasonExists means that the record creates something that already exists.
	ReasonExists Reason = "exists"
	// ReasonInvalid means that the record's values are not allowed.
	ReasonInvalid Reason = "invalid"
	// ReasonWithdrawn means that the key was withdrawn before.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonDuplicate means that a record of the same writer with this or a
	// later number has been applied.
	ReasonDuplicate Reason = "duplicate"
	// ReasonExpired means that the idempotency key lies outside the claim window.
	ReasonExpired Reason = "expired"
	// ReasonWriter means that the writer may not write the record.
	ReasonWriter Reason = "writer"
	// ReasonBudget means that a disruption budget is exhausted.
	ReasonBudget Reason = "budget"
	// ReasonStep means that the VM or the wave is not in the step that the record
	// requires.
	ReasonStep Reason = "step"
	// ReasonEpoch means that the writer does not hold the lease at the epoch.
	ReasonEpoch Reason = "epoch"
)

// Rejection is the outcome of a record whose precondition failed.
type Rejection struct {
	Reason  Reason
	Message string
}

func (v *Rejection) Error() string {
	return fmt.Sprintf("%s: %s", v.Reason, v.Message)
}

func rejectf(reason Reason, format string, args ...any) *Rejection {
	return &Rejection{Reason: reason, Message: fmt.Sprintf(format, args...)}
}
