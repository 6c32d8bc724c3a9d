package logstream

import (
	"sync"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// waiting holds the sent records that have not been read back, by number.
type waiting struct {
	mu    sync.Mutex
	bySeq map[uint64]*proposal
}

func (w *waiting) add(batch []*proposal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		w.bySeq[p.seq] = p
	}
}

func (w *waiting) remove(batch []*proposal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		delete(w.bySeq, p.seq)
	}
}

func (w *waiting) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.bySeq)
}

// resolve hands the result of an own record to its proposal. Own records with
// lower numbers that still wait are void for good: the reducer drops them.
func (w *waiting) resolve(result statemachine.Result) {
	duplicate := result.Rejection != nil && result.Rejection.Reason == statemachine.ReasonDuplicate
	for _, p := range w.takeUpTo(result.ID.Seq) {
		if p.seq == result.ID.Seq && !duplicate {
			p.finish(result, nil)
			continue
		}
		p.finish(statemachine.Result{}, proposeError(provider.Refused, provider.CodeTimeout, "a later record of the writer took effect without this one"))
	}
}

// giveUp ends the proposals up to the number, whose results were not seen.
func (w *waiting) giveUp(seq uint64, message string) {
	for _, p := range w.takeUpTo(seq) {
		p.finish(statemachine.Result{}, proposeError(provider.Unknown, provider.CodeUnavailable, message))
	}
}

// takeUpTo removes and returns the proposals up to the number.
func (w *waiting) takeUpTo(seq uint64) []*proposal {
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
