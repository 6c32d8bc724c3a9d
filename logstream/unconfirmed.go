package logstream

import (
	"sync"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// unconfirmedRecords holds the sent records that have not been read back, by
// sequence number.
type unconfirmedRecords struct {
	mu    sync.Mutex
	bySeq map[uint64]*proposal
}

func (w *unconfirmedRecords) add(batch []*proposal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		w.bySeq[p.seq] = p
	}
}

func (w *unconfirmedRecords) remove(batch []*proposal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		delete(w.bySeq, p.seq)
	}
}

func (w *unconfirmedRecords) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.bySeq)
}

// resolve delivers the result of an own record to its proposal. Unconfirmed
// records with lower numbers are refused: the state machine drops them.
func (w *unconfirmedRecords) resolve(result statemachine.Result) {
	duplicate := result.Rejection != nil && result.Rejection.Reason == statemachine.ReasonDuplicate
	for _, p := range w.removeUpTo(result.ID.Seq) {
		if p.seq == result.ID.Seq && !duplicate {
			p.finish(result, nil)
			continue
		}
		p.finish(statemachine.Result{}, proposeError(provider.Refused, provider.CodeTimeout, "a later record of the writer took effect without this one"))
	}
}

// failUpTo finishes the proposals up to the sequence number as Unknown: their
// results were not read.
func (w *unconfirmedRecords) failUpTo(seq uint64, message string) {
	for _, p := range w.removeUpTo(seq) {
		p.finish(statemachine.Result{}, proposeError(provider.Unknown, provider.CodeUnavailable, message))
	}
}

// removeUpTo removes and returns the proposals up to the sequence number.
func (w *unconfirmedRecords) removeUpTo(seq uint64) []*proposal {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*proposal
	for n, p := range w.bySeq {
		if n <= seq {
			out = append(out, p)
			delete(w.bySeq, n)
		}
	}
	return out
}
