package entry

import (
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/admission"
)

// loadBoard holds the entry's own loads for its heartbeats.
type loadBoard struct {
	loads atomic.Pointer[[]admission.Load]
}

func newLoadBoard() *loadBoard {
	return &loadBoard{}
}

func (b *loadBoard) set(loads []admission.Load) {
	b.loads.Store(&loads)
}

// waiting returns the waiting load by team.
func (b *loadBoard) waiting() map[string]float64 {
	out := make(map[string]float64)
	loads := b.loads.Load()
	if loads == nil {
		return out
	}
	for _, l := range *loads {
		out[l.Team] += l.Waiting
	}
	return out
}
