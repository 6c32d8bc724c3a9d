package sizing

import (
	"math"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// moveTime is the time that a move takes a VM out of service: a drain.
const moveTime = 2 * time.Minute

// MoveCosts returns the cost of a move by pool, in VM-seconds: the time for which
// the VM is out of service, and that again for as much as the operators weigh
// moves over shares. It is infinite where shares weigh nothing.
func MoveCosts(s *statemachine.State) map[string]float64 {
	out := make(map[string]float64)
	for _, template := range s.Templates.All() {
		for _, pool := range template.Pools {
			out[pool] = max(out[pool], cost(template.Weights))
		}
	}
	return out
}

func cost(w statemachine.Weights) float64 {
	switch {
	case w.Moves == 0:
		return moveTime.Seconds()
	case w.Shares == 0:
		return math.Inf(1)
	default:
		return moveTime.Seconds() * (1 + w.Moves/w.Shares)
	}
}
