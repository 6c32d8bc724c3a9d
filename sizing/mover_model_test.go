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
	// modelPatience is the time for which demand waits.
	modelPatience = 5
)

// modelPool is a pool of the model whose queue asks for five times its mean for
// some seconds and a twentieth in between.
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
			// The mean over both is the mean: 5 d + (1 - d) / 20 = 1.
			length *= 4.0 / 0.95
		}
		p.until = at + time.Duration(length*float64(time.Second))
	}
	if p.burst {
		return 5 * p.mean
	}
	return p.mean / 20
}

// way proposes the next move at each second, or none.
type way func(now time.Time, sizes map[string]PoolSize, demand map[string]float64, busy map[string]bool) (Move, bool)

// stay never moves.
func stay(time.Time, map[string]PoolSize, map[string]float64, map[string]bool) (Move, bool) {
	return Move{}, false
}

// everyChange moves on each difference that it sees.
func everyChange(_ time.Time, sizes map[string]PoolSize, demand map[string]float64, busy map[string]bool) (Move, bool) {
	costs := make(map[string]float64)
	for pool := range sizes {
		costs[pool] = 0
	}
	for _, move := range moves(sizes, costs) {
		if !busy[move.From] && !busy[move.To] && move.gain(sizes, demand) > 0 {
			return move, true
		}
	}
	return Move{}, false
}

// byMover moves as the Mover finds with the cost in VM-seconds.
func byMover(cost float64) way {
	mover := NewMovePlanner()
	return func(now time.Time, sizes map[string]PoolSize, demand map[string]float64, busy map[string]bool) (Move, bool) {
		costs := make(map[string]float64)
		for pool := range sizes {
			costs[pool] = cost
		}
		mover.Observe(now, sizes, demand, costs, busy)
		due := mover.DueMoves(sizes, costs)
		if len(due) == 0 {
			return Move{}, false
		}
		return due[0], true
	}
}

// movesOutcome is what a way to move has cost and brought.
type movesOutcome struct {
	moves int
	// distance is the mean over teams and windows of 10 s of the distance from
	// the share of the whole fleet, as a part of the share.
	distance float64
	// unserved is the part of the demand that found no slot.
	unserved float64
}

// ordinary is the part of its pool that a queue asks for on average.
const ordinary = 0.3

// shift is what the first two queues ask for on average from 20 min to 2 h, as
// parts of their pools.
type shift [2]float64

var (
	noShift      = shift{ordinary, ordinary}
	lastingShift = shift{0.9, 0.1}
)

// runModel lets four pools of 10 VMs run for three hours.
func runModel(seed uint64, to shift, choose way) movesOutcome {
	random := rand.New(rand.NewPCG(seed, 1))
	names := []string{"a", "b", "c", "d"}
	pools := make(map[string]*modelPool)
	for _, name := range names {
		pools[name] = &modelPool{vms: 10}
	}
	flights := make(map[Move]time.Duration)
	var out movesOutcome
	got, asked := make([]float64, 4), make([]float64, 4)
	windows, lost, total := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < modelRun; at += time.Second {
		shifted := at >= 20*time.Minute && at < 2*time.Hour
		sizes, demand, busy := make(map[string]PoolSize), make(map[string]float64), make(map[string]bool)
		for move, end := range flights {
			if at >= end {
				pools[move.From].vms--
				pools[move.To].vms++
				delete(flights, move)
				continue
			}
			busy[move.From], busy[move.To] = true, true
		}
		for i, name := range names {
			p := pools[name]
			slots := p.vms * modelSlots
			sizes[name] = PoolSize{VMs: p.vms, InService: p.vms, Slots: slots, HealthySlots: slots}
			p.mean = ordinary * 10 * modelSlots
			if shifted && i < 2 {
				p.mean = to[i] * 10 * modelSlots
			}
			offered := p.offered(at, random)
			demand[name] = offered + p.waiting
			if flightFrom(flights, name) {
				slots -= modelSlots
			}
			served := min(demand[name], float64(slots))
			kept := min(demand[name]-served, modelPatience*float64(slots))
			lost += demand[name] - served - kept
			p.waiting = kept
			total += offered
			got[i] += served
			asked[i] += offered
		}
		if move, ok := choose(start.Add(at), sizes, demand, busy); ok {
			out.moves++
			flights[move] = at + time.Duration(random.Int64N(int64(modelDrain)))
		}
		if (at+time.Second)%(10*time.Second) == 0 {
			out.distance += windowDistance(got, asked)
			windows++
			clear(got)
			clear(asked)
		}
	}
	out.distance /= windows
	out.unserved = lost / total
	return out
}

func flightFrom(flights map[Move]time.Duration, pool string) bool {
	for move := range flights {
		if move.From == pool {
			return true
		}
	}
	return false
}

// windowDistance is the mean distance of the teams from their shares of the
// whole fleet over a window of 10 s, as a part of the share.
func windowDistance(got, asked []float64) float64 {
	claims := make([]shares.TeamDemand, len(got))
	for i := range got {
		claims[i] = shares.TeamDemand{Weight: 1, Demand: max(asked[i], got[i]), Limit: math.Inf(1)}
	}
	const share = 10 * modelSlots * 10
	sum := 0.0
	for i, owed := range shares.Compute(4*share, claims) {
		sum += math.Abs(got[i]-owed) / share
	}
	return sum / float64(len(got))
}

// TestMeasure_MovesByDemand holds the moves of both users against no move and
// a move at each difference, under demand that rotates five-fold within
// seconds, alone and with a shift of demand that lasts.
func TestMeasure_MovesByDemand(t *testing.T) {
	const seeds = 3
	mean := func(name string, to shift, choose func() way) (out movesOutcome) {
		for seed := range uint64(seeds) {
			one := runModel(seed, to, choose())
			out.moves += one.moves
			out.distance += one.distance / seeds
			out.unserved += one.unserved / seeds
		}
		t.Logf("%v %-18s moves %.1f, distance from shares %.2f %%, demand lost %.2f %%",
			to, name, float64(out.moves)/seeds, 100*out.distance, 100*out.unserved)
		return out
	}
	for _, to := range []shift{noShift, lastingShift} {
		never := mean("no move", to, func() way { return stay })
		naive := mean("at each difference", to, func() way { return everyChange })
		for _, user := range examples.Users {
			catalog, err := examples.Catalog(user)
			require.NoError(t, err)
			planned := mean(user, to, func() way { return byMover(cost(catalog.Template.Weights)) })
			require.Less(t, 10*planned.moves, naive.moves)
			require.Less(t, planned.distance, naive.distance)
			if to == lastingShift {
				require.Positive(t, planned.moves)
				require.Less(t, planned.distance, never.distance)
			}
		}
	}
}
