package sizing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/shares"
)

const (
	modelSlots = 8
	modelDrain = 2 * time.Minute
	modelRun   = 3 * time.Hour
	// modelMaxWaitSeconds is the time for which unserved demand stays queued.
	modelMaxWaitSeconds = 5
)

// modelPool is a pool of the model with bursts of five times its mean demand
// for some seconds and a twentieth in between.
type modelPool struct {
	vms     int
	mean    float64
	waiting float64
	burst   bool
	until   time.Duration
}

// offered draws the pool's demand of the next second, in slots.
func (p *modelPool) offered(at time.Duration, random *rand.Rand) float64 {
	if at >= p.until {
		p.burst = !p.burst
		length := 4 + 4*random.Float64()
		if !p.burst {
			// The pauses keep the mean: 5 d + (1 - d) / 20 = 1.
			length *= 4.0 / 0.95
		}
		p.until = at + time.Duration(length*float64(time.Second))
	}
	if p.burst {
		return 5 * p.mean
	}
	return p.mean / 20
}

// movePolicy proposes the next move at each second, or none.
type movePolicy func(now time.Time, sizes map[string]PoolSize, demand map[string]float64, busy map[string]bool) (Move, bool)

// neverMove never moves.
func neverMove(time.Time, map[string]PoolSize, map[string]float64, map[string]bool) (Move, bool) {
	return Move{}, false
}

// moveOnAnyGain moves on every positive gain.
func moveOnAnyGain(_ time.Time, sizes map[string]PoolSize, demand map[string]float64, busy map[string]bool) (Move, bool) {
	costs := make(map[string]float64)
	for pool := range sizes {
		costs[pool] = 0
	}
	for _, move := range possibleMoves(sizes, costs) {
		if !busy[move.From] && !busy[move.To] && move.gain(sizes, demand) > 0 {
			return move, true
		}
	}
	return Move{}, false
}

// movePlanned makes the moves of a MovePlanner with the cost in VM-seconds.
func movePlanned(cost float64) movePolicy {
	planner := NewMovePlanner()
	return func(now time.Time, sizes map[string]PoolSize, demand map[string]float64, busy map[string]bool) (Move, bool) {
		costs := make(map[string]float64)
		for pool := range sizes {
			costs[pool] = cost
		}
		planner.Observe(now, sizes, demand, costs, busy)
		due := planner.DueMoves(sizes, costs)
		if len(due) == 0 {
			return Move{}, false
		}
		return due[0], true
	}
}

// policyResult holds the cost and the benefit of a policy.
type policyResult struct {
	moves int
	// distance is the mean deviation from the share of the whole fleet over
	// teams and windows of 10 s, as a fraction of the share.
	distance float64
	// unserved is the fraction of the demand that got no slot.
	unserved float64
}

// baselineLoad is a queue's mean demand as a fraction of its pool.
const baselineLoad = 0.3

// loadShift is the mean demand of the first two queues from 20 min to 2 h, as
// fractions of their pools.
type loadShift [2]float64

var (
	noShift      = loadShift{baselineLoad, baselineLoad}
	lastingShift = loadShift{0.9, 0.1}
)

// runModel simulates four pools of 10 VMs for three hours.
func runModel(seed uint64, shift loadShift, choose movePolicy) policyResult {
	random := rand.New(rand.NewPCG(seed, 1))
	names := []string{"a", "b", "c", "d"}
	pools := make(map[string]*modelPool)
	for _, name := range names {
		pools[name] = &modelPool{vms: 10}
	}
	movesInProgress := make(map[Move]time.Duration)
	var out policyResult
	servedSlots, offeredSlots := make([]float64, 4), make([]float64, 4)
	windows, dropped, total := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < modelRun; at += time.Second {
		shifted := at >= 20*time.Minute && at < 2*time.Hour
		sizes, demand, busy := make(map[string]PoolSize), make(map[string]float64), make(map[string]bool)
		for move, end := range movesInProgress {
			if at >= end {
				pools[move.From].vms--
				pools[move.To].vms++
				delete(movesInProgress, move)
				continue
			}
			busy[move.From], busy[move.To] = true, true
		}
		for i, name := range names {
			p := pools[name]
			slots := p.vms * modelSlots
			sizes[name] = PoolSize{VMs: p.vms, InService: p.vms, Slots: slots, HealthySlots: slots}
			p.mean = baselineLoad * 10 * modelSlots
			if shifted && i < 2 {
				p.mean = shift[i] * 10 * modelSlots
			}
			offered := p.offered(at, random)
			demand[name] = offered + p.waiting
			if isMovingFrom(movesInProgress, name) {
				slots -= modelSlots
			}
			served := min(demand[name], float64(slots))
			queued := min(demand[name]-served, modelMaxWaitSeconds*float64(slots))
			dropped += demand[name] - served - queued
			p.waiting = queued
			total += offered
			servedSlots[i] += served
			offeredSlots[i] += offered
		}
		if move, ok := choose(start.Add(at), sizes, demand, busy); ok {
			out.moves++
			movesInProgress[move] = at + time.Duration(random.Int64N(int64(modelDrain)))
		}
		if (at+time.Second)%(10*time.Second) == 0 {
			out.distance += windowDistance(servedSlots, offeredSlots)
			windows++
			clear(servedSlots)
			clear(offeredSlots)
		}
	}
	out.distance /= windows
	out.unserved = dropped / total
	return out
}

func isMovingFrom(movesInProgress map[Move]time.Duration, pool string) bool {
	for move := range movesInProgress {
		if move.From == pool {
			return true
		}
	}
	return false
}

// windowDistance returns the teams' mean deviation from their shares of the
// whole fleet over a window of 10 s, as a fraction of the share.
func windowDistance(servedSlots, offeredSlots []float64) float64 {
	demands := make([]shares.TeamDemand, len(servedSlots))
	for i := range servedSlots {
		demands[i] = shares.TeamDemand{Weight: 1, Demand: max(offeredSlots[i], servedSlots[i]), Limit: math.Inf(1)}
	}
	const share = 10 * modelSlots * 10
	sum := 0.0
	for i, fairShare := range shares.Compute(4*share, demands) {
		sum += math.Abs(servedSlots[i]-fairShare) / share
	}
	return sum / float64(len(servedSlots))
}

// TestMeasure_MovesByDemand compares the planned moves of both users with no
// moves and a move on any gain, under demand that rotates five-fold within
// seconds, alone and with a lasting shift of demand.
func TestMeasure_MovesByDemand(t *testing.T) {
	const seeds = 3
	mean := func(name string, shift loadShift, choose func() movePolicy) (out policyResult) {
		for seed := range uint64(seeds) {
			result := runModel(seed, shift, choose())
			out.moves += result.moves
			out.distance += result.distance / seeds
			out.unserved += result.unserved / seeds
		}
		t.Logf("%v %-18s moves %.1f, distance from shares %.2f %%, unserved demand %.2f %%",
			shift, name, float64(out.moves)/seeds, 100*out.distance, 100*out.unserved)
		return out
	}
	for _, shift := range []loadShift{noShift, lastingShift} {
		never := mean("no move", shift, func() movePolicy { return neverMove })
		eager := mean("on any gain", shift, func() movePolicy { return moveOnAnyGain })
		for _, user := range examples.Users {
			catalog, err := examples.Catalog(user)
			require.NoError(t, err)
			planned := mean(user, shift, func() movePolicy { return movePlanned(moveCost(catalog.Template.Weights)) })
			require.Less(t, 10*planned.moves, eager.moves)
			require.Less(t, planned.distance, eager.distance)
			if shift == lastingShift {
				require.Positive(t, planned.moves)
				require.Less(t, planned.distance, never.distance)
			}
		}
	}
}
