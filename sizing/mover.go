package sizing

import (
	"slices"
	"time"
)

// minGain is the part of its slots that a moved VM has to win to count. Below
// it a difference between pools may be chance.
const minGain = 1.0 / 32

// MovePlanner finds the moves that pay. For each pair of pools it adds up what a
// moved VM would have won, never below 0 (a one-sided CUSUM test), and a move
// pays once that has reached the move's cost. Demand that rotates within
// seconds adds and takes away alike and causes no move. It is not safe for
// concurrent use.
type MovePlanner struct {
	// won is what a moved VM would have won lately, in slot-seconds.
	won  map[Move]float64
	last time.Time
}

// NewMovePlanner returns a mover that has seen nothing.
func NewMovePlanner() *MovePlanner {
	return &MovePlanner{won: make(map[Move]float64)}
}

// Observe adds a sample of the pools' demand in slots, which stands for the
// time since the one before. Costs are in VM-seconds by pool. Pools without a
// cost neither give nor take, and the busy ones start over.
func (m *MovePlanner) Observe(now time.Time, sizes map[string]PoolSize, demand, costs map[string]float64, busy map[string]bool) {
	lasted := min(now.Sub(m.last), maxGap)
	if m.last.IsZero() || lasted < 0 {
		lasted = 0
	}
	m.last = now
	next := make(map[Move]float64, len(m.won))
	for _, move := range moves(sizes, costs) {
		if busy[move.From] || busy[move.To] {
			continue
		}
		slots := sizes[move.From].slotsPerVM()
		won := m.won[move] + (move.gain(sizes, demand)-minGain*slots)*lasted.Seconds()
		next[move] = max(0, min(won, move.cost(sizes, costs)))
	}
	m.won = next
}

// DueMoves returns the moves that pay, in the order of their pools' names.
func (m *MovePlanner) DueMoves(sizes map[string]PoolSize, costs map[string]float64) []Move {
	var out []Move
	for _, move := range moves(sizes, costs) {
		if won := m.won[move]; won > 0 && won >= move.cost(sizes, costs) {
			out = append(out, move)
		}
	}
	return out
}

// cost returns the cost of the move in slot-seconds: that of the pool whose
// operators weigh moves more.
func (m Move) cost(sizes map[string]PoolSize, costs map[string]float64) float64 {
	return max(costs[m.From], costs[m.To]) * sizes[m.From].slotsPerVM()
}

// moves returns the moves between all pairs of pools that may give and take,
// in the order of their names.
func moves(sizes map[string]PoolSize, costs map[string]float64) []Move {
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
