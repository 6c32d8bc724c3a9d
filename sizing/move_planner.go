package sizing

import (
	"slices"
	"time"
)

// minGain is the minimum gain that counts, as a fraction of the VM's slots. A
// smaller difference between pools may be noise.
const minGain = 1.0 / 32

// MovePlanner finds the moves that are worth their cost. For each pair of pools
// it accumulates the gain of a moved VM, never below 0 (a one-sided CUSUM
// test), and a move is due once that reaches the move's cost. Demand that
// rotates within seconds cancels out and causes no move. It is not safe for
// concurrent use.
type MovePlanner struct {
	// gained is the accumulated gain of each move, in slot-seconds.
	gained map[Move]float64
	last   time.Time
}

// NewMovePlanner returns a planner without samples.
func NewMovePlanner() *MovePlanner {
	return &MovePlanner{gained: make(map[Move]float64)}
}

// Observe adds a sample of the pools' demand in slots, which covers the time
// since the previous one. Costs are in VM-seconds by pool. Pools without a cost
// are ignored, and the gains of busy ones are reset.
func (p *MovePlanner) Observe(now time.Time, sizes map[string]PoolSize, demand, costs map[string]float64, busy map[string]bool) {
	elapsed := min(now.Sub(p.last), maxSampleDuration)
	if p.last.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.last = now
	next := make(map[Move]float64, len(p.gained))
	for _, move := range possibleMoves(sizes, costs) {
		if busy[move.From] || busy[move.To] {
			continue
		}
		slots := sizes[move.From].slotsPerVM()
		gained := p.gained[move] + (move.gain(sizes, demand)-minGain*slots)*elapsed.Seconds()
		next[move] = max(0, min(gained, move.cost(sizes, costs)))
	}
	p.gained = next
}

// DueMoves returns the moves that are due, in the order of their pools' names.
func (p *MovePlanner) DueMoves(sizes map[string]PoolSize, costs map[string]float64) []Move {
	var out []Move
	for _, move := range possibleMoves(sizes, costs) {
		if gained := p.gained[move]; gained > 0 && gained >= move.cost(sizes, costs) {
			out = append(out, move)
		}
	}
	return out
}

// cost returns the cost of the move in slot-seconds: the higher cost of its
// two pools.
func (m Move) cost(sizes map[string]PoolSize, costs map[string]float64) float64 {
	return max(costs[m.From], costs[m.To]) * sizes[m.From].slotsPerVM()
}

// possibleMoves returns the moves between all pairs of pools that may give up
// and receive a VM, in the order of their names.
func possibleMoves(sizes map[string]PoolSize, costs map[string]float64) []Move {
	var pools []string
	for name, size := range sizes {
		if _, ok := costs[name]; ok && !size.Spare {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	var out []Move
	for _, from := range pools {
		for _, to := range pools {
			if from != to && sizes[from].VMs > 1 {
				out = append(out, Move{From: from, To: to})
			}
		}
	}
	return out
}
