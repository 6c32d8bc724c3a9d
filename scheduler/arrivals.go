package scheduler

import (
	"math"
	"time"
)

// arrivalWindows are the windows over which the arrival rate is measured. The longest
// has the least noise; shorter ones detect a demand peak earlier, and are discounted
// more the fewer jobs they hold.
var arrivalWindows = [...]time.Duration{600 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond}

const (
	// minArrivals is the number of jobs from which a short window is used.
	minArrivals = 4
	// arrivalRetention is how long arrivals are kept: twice the longest window, so that
	// the rate can be compared with that of the window before.
	arrivalRetention = 2 * 600 * time.Millisecond
	// growthSignificance is how many standard deviations of the job count growth must
	// exceed to be forecast: a VM that is moved in vain costs two moves.
	growthSignificance = 2
	// maxGrowth bounds the forecast growth, as a fraction of the rate.
	maxGrowth = 0.3
)

// arrival is the work of one submitted job, at the time at which it counts as arriving.
type arrival struct {
	at          time.Time
	pool        string
	coreSeconds float64
	// key is the part of the fleet's demand that the job belongs to.
	key demandKey
}

// arrivals holds the recently submitted work, in the order in which the leader read it.
type arrivals []arrival

// add records one arrival.
func (a *arrivals) add(one arrival) { *a = append(*a, one) }

// offeredLoad returns the CPU that each pool needs to keep up with arrivals, in
// millicores. A VM that is requested now serves two seconds later, so recent growth is
// extrapolated.
func (a *arrivals) offeredLoad(now time.Time) map[string]int64 {
	for len(*a) > 0 && now.Sub((*a)[0].at) > arrivalRetention {
		*a = (*a)[1:]
	}
	pools := map[string]*poolArrivals{}
	for _, one := range *a {
		age := now.Sub(one.at)
		if age > arrivalRetention {
			continue
		}
		p, known := pools[one.pool]
		if !known {
			p = &poolArrivals{}
			pools[one.pool] = p
		}
		p.add(age, one.coreSeconds)
	}
	out := make(map[string]int64, len(pools))
	for name, p := range pools {
		out[name] = int64(1e3 * p.forecast())
	}
	return out
}

// poolArrivals sums the work of one pool by window.
type poolArrivals struct {
	jobs [len(arrivalWindows)]int
	work [len(arrivalWindows)]float64
	// previousWork is the work of the longest window before the current one.
	previousWork float64
}

func (p *poolArrivals) add(age time.Duration, coreSeconds float64) {
	if age > arrivalWindows[0] {
		p.previousWork += coreSeconds
		return
	}
	for i, window := range arrivalWindows {
		if age <= window {
			p.jobs[i]++
			p.work[i] += coreSeconds
		}
	}
}

// offeredLoad returns the cores that current arrivals need. Short windows are
// discounted by their standard error.
func (p *poolArrivals) offeredLoad() float64 {
	best := p.work[0] / arrivalWindows[0].Seconds()
	for i := 1; i < len(arrivalWindows); i++ {
		if p.jobs[i] >= minArrivals {
			confidence := 1 - 1/math.Sqrt(float64(p.jobs[i]))
			best = max(best, confidence*p.work[i]/arrivalWindows[i].Seconds())
		}
	}
	return best
}

// forecast returns the offered load plus its statistically significant growth.
func (p *poolArrivals) forecast() float64 {
	rate := p.offeredLoad()
	if p.jobs[0] < minArrivals {
		return rate
	}
	noise := growthSignificance * rate / math.Sqrt(float64(p.jobs[0]))
	growth := rate - p.previousWork/arrivalWindows[0].Seconds() - noise
	return rate + min(max(0, growth), maxGrowth*rate)
}

// shares returns how the work that arrived last divides by the parts of each pool's
// demand: the fractions of a pool add up to one.
func (a arrivals) shares(now time.Time) map[demandKey]float64 {
	work, total := map[demandKey]float64{}, map[string]float64{}
	for _, one := range a {
		if now.Sub(one.at) <= arrivalWindows[0] {
			work[one.key] += one.coreSeconds
			total[one.pool] += one.coreSeconds
		}
	}
	for key := range work {
		work[key] /= max(math.SmallestNonzeroFloat64, total[key.pool])
	}
	return work
}
