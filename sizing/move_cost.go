package sizing

import (
	"math"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// moveDuration is how long a move takes a VM out of service for its drain.
const moveDuration = 2 * time.Minute

// MoveCosts returns the cost of a move by pool, in VM-seconds: the time for
// which the VM is out of service, times 1 plus the ratio of the weight of moves
// to that of shares. It is infinite where only moves have a weight.
func MoveCosts(s *statemachine.State) map[string]float64 {
	out := make(map[string]float64)
	for _, template := range s.Templates.All() {
		for _, pool := range template.Pools {
			out[pool] = max(out[pool], moveCost(template.Weights))
		}
	}
	return out
}

func moveCost(w statemachine.Weights) float64 {
	switch {
	case w.Moves == 0:
		return moveDuration.Seconds()
	case w.Shares == 0:
		return math.Inf(1)
	default:
		return moveDuration.Seconds() * (1 + w.Moves/w.Shares)
	}
}
