package logstream

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// InDoubtRecord is a sent record whose outcome was unknown when its proposer
// stopped waiting.
type InDoubtRecord struct {
	proposal *proposal
}

// Wait returns the record's result once it has been read back. It fails with
// outcome Refused once the record can no longer take effect, and with Unknown
// if the context ends first or the result can no longer be read. The stream
// appends the fence that resolves it once the log is available again.
func (p *InDoubtRecord) Wait(ctx context.Context) (statemachine.Result, error) {
	select {
	case <-p.proposal.done:
		return p.proposal.result, p.proposal.err
	case <-ctx.Done():
		return statemachine.Result{}, proposeError(provider.Unknown, provider.CodeTimeout, "the record's outcome is not known yet")
	}
}

// inDoubtError is the error of a proposal that was sent and not read back in
// time.
type inDoubtError struct {
	error
	record *InDoubtRecord
}

// Unwrap implements the interface of errors.Unwrap.
func (e *inDoubtError) Unwrap() error { return e.error }

// InDoubtRecordOf returns the record of an error of Propose whose outcome is
// unknown.
func InDoubtRecordOf(err error) (*InDoubtRecord, bool) {
	var unresolved *inDoubtError
	if errors.As(err, &unresolved) {
		return unresolved.record, true
	}
	return nil, false
}
