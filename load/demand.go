package load

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	burstFactor = 5.0
	lullFactor  = 1.0 / 20
	// burstPart is the part of the time in which a team asks burstFactor times
	// its mean, so that the mean comes out.
	burstFraction = (1 - lullFactor) / (burstFactor - lullFactor)
	basePeriod    = 11 * time.Second
	periodStep    = 1700 * time.Millisecond
)

// factor returns the team's demand at a time as a part of its mean. Teams have
// periods of their own, so that their bursts meet in every way.
func demandFactor(team int, at time.Duration) float64 {
	period := basePeriod + time.Duration(team)*periodStep
	if at%period < time.Duration(burstFraction*float64(period)) {
		return burstFactor
	}
	return lullFactor
}

// runTime draws a run time from a ten-fold range with the given mean.
func runTime(rng *rand.Rand, mean time.Duration) time.Duration {
	meanOfRange := 0.9 / math.Ln10
	return time.Duration(float64(mean) * math.Pow(10, rng.Float64()-1) / meanOfRange)
}

// gap draws the time to the next arrival.
func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}
