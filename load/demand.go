package load

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	burstFactor = 5.0
	lullFactor  = 1.0 / 20
	// burstFraction is the fraction of the time during which a team's demand is
	// burstFactor times its mean, such that it averages to the mean.
	burstFraction = (1 - lullFactor) / (burstFactor - lullFactor)
	basePeriod    = 11 * time.Second
	periodStep    = 1700 * time.Millisecond
)

// demandFactor returns the team's demand at a time relative to its mean. Periods
// differ by team, so that bursts overlap in every combination.
func demandFactor(team int, at time.Duration) float64 {
	period := basePeriod + time.Duration(team)*periodStep
	if at%period < time.Duration(burstFraction*float64(period)) {
		return burstFactor
	}
	return lullFactor
}

// runTime draws a run time with the given mean, log-uniform over a ten-fold range.
func runTime(rng *rand.Rand, mean time.Duration) time.Duration {
	meanOfRange := 0.9 / math.Ln10
	return time.Duration(float64(mean) * math.Pow(10, rng.Float64()-1) / meanOfRange)
}

// interarrivalTime draws the time to the next arrival of a Poisson process.
func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}
