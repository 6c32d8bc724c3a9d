package scheduler

import (
	"math"
	"time"
)

// arrivalWindows are the spans over which the rate of arriving work is measured.
// The longest is the steadiest; the shorter ones show the start of a turn earlier,
// and count for less the fewer jobs they hold.
var arrivalWindows = [...]time.Duration{600 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond}

const (
	// fewestArrivals is from how many jobs on a short window counts.
	fewestArrivals = 4
	// arrivalMemory is for how long arrivals are kept: the longest window, twice, so
	// that the rate can be compared with the one before.
	arrivalMemory = 2 * 600 * time.Millisecond
	// growthBeyondChance is how many standard deviations of the count growth must
	// exceed to be foreseen: a VM that comes in vain costs two moves.
	growthBeyondChance = 2
	// mostGrowth bounds the growth that is foreseen, as a part of the rate.
	mostGrowth = 0.3
)

// arrival is the work of one job that has come.
type arrival struct {
	at          time.Time
	pool        string
	coreSeconds float64
}

// arrivals holds the work that has come lately, oldest first.
type arrivals []arrival

// add takes in a job.
func (a *arrivals) add(one arrival) { *a = append(*a, one) }

// rates returns the processors that it takes to keep up with what comes, by pool,
// in thousandths of a core. A VM that is ordered now serves two seconds later:
// what has grown lately is taken to grow on.
func (a *arrivals) rates(now time.Time) map[string]int64 {
	for len(*a) > 0 && now.Sub((*a)[0].at) > arrivalMemory {
		*a = (*a)[1:]
	}
	pools := map[string]*poolArrivals{}
	for _, one := range *a {
		p, known := pools[one.pool]
		if !known {
			p = &poolArrivals{}
			pools[one.pool] = p
		}
		p.add(now.Sub(one.at), one.coreSeconds)
	}
	out := make(map[string]int64, len(pools))
	for name, p := range pools {
		out[name] = int64(1e3 * p.foreseen())
	}
	return out
}

// poolArrivals sums the work of one pool by window.
type poolArrivals struct {
	jobs [len(arrivalWindows)]int
	work [len(arrivalWindows)]float64
	// before is the work of the longest window before the present one.
	before float64
}

func (p *poolArrivals) add(age time.Duration, coreSeconds float64) {
	if age > arrivalWindows[0] {
		p.before += coreSeconds
		return
	}
	for i, window := range arrivalWindows {
		if age <= window {
			p.jobs[i]++
			p.work[i] += coreSeconds
		}
	}
}

// rate returns the cores that keep up with what comes now. A short window counts
// less its own uncertainty.
func (p *poolArrivals) rate() float64 {
	best := p.work[0] / arrivalWindows[0].Seconds()
	for i := 1; i < len(arrivalWindows); i++ {
		if p.jobs[i] >= fewestArrivals {
			sure := 1 - 1/math.Sqrt(float64(p.jobs[i]))
			best = max(best, sure*p.work[i]/arrivalWindows[i].Seconds())
		}
	}
	return best
}

// foreseen returns the rate with the growth that shows beyond chance.
func (p *poolArrivals) foreseen() float64 {
	rate := p.rate()
	if p.jobs[0] < fewestArrivals {
		return rate
	}
	chance := growthBeyondChance * rate / math.Sqrt(float64(p.jobs[0]))
	growth := rate - p.before/arrivalWindows[0].Seconds() - chance
	return rate + min(max(0, growth), mostGrowth*rate)
}
