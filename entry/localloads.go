package entry

import (
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/admission"
)

// localLoads holds the entry's own loads for its heartbeats.
type localLoads struct {
	loads atomic.Pointer[[]admission.Load]
}

func newLocalLoads() *localLoads {
	return &localLoads{}
}

func (b *localLoads) set(loads []admission.Load) {
	b.loads.Store(&loads)
}

// waitingByTeam returns the waiting load by team.
func (b *localLoads) waitingByTeam() map[string]float64 {
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
