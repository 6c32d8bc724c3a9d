package logstream

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// InDoubtRecord is a sent record whose proposer has stopped waiting.
type InDoubtRecord struct {
	proposal *proposal
}

// Wait returns the record's result once it has been read back. It fails with
// outcome Refused once the record is certain never to take effect, and with
// Unknown if the context ends before or if the result can no longer be seen.
// The stream writes what is needed to decide it as soon as the log is back.
func (p *InDoubtRecord) Wait(ctx context.Context) (statemachine.Result, error) {
	select {
	case <-p.proposal.done:
		return p.proposal.result, p.proposal.err
	case <-ctx.Done():
		return statemachine.Result{}, proposeError(provider.Unknown, provider.CodeTimeout, "the record's fate is not known yet")
	}
}

// unresolvedError is the failure of a proposal that was sent and not read
// back in time.
type unresolvedError struct {
	error
	pending *InDoubtRecord
}

// Unwrap implements the interface of errors.Unwrap.
func (e *unresolvedError) Unwrap() error { return e.error }

// InDoubtRecordOf returns the record behind an error of Propose, if its fate was
// not known.
func InDoubtRecordOf(err error) (*InDoubtRecord, bool) {
	var unresolved *unresolvedError
	if errors.As(err, &unresolved) {
		return unresolved.pending, true
	}
	return nil, false
}
