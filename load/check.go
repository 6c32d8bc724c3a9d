package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDuration bounds the time during which work is submitted.
	MaxDuration = 10 * time.Minute
	// MaxRate bounds the requests per second.
	MaxRate = 50000
	// MaxJobRate bounds the jobs per second.
	MaxJobRate = 1000
	// MaxCount bounds the number of requests and jobs.
	MaxCount = 5_000_000
	// MaxJobTimeout bounds the time to wait for a job to finish.
	MaxJobTimeout = 10 * time.Minute
	// MaxTimeout bounds the request timeout.
	MaxTimeout = time.Minute
)

// Validate reports the first setting that is out of bounds, by the command-line
// flag that sets it.
func (c *Config) Validate() error {
	for _, validate := range []func() error{c.checkRates, c.checkTimes, c.checkFractions} {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkRates() error {
	switch {
	case !(c.Rate > 0 && c.Rate <= MaxRate):
		return errors.Newf("-rate is %v; it must be above 0 and up to %d requests a second", c.Rate, MaxRate)
	case !(c.JobRate >= 0 && c.JobRate <= MaxJobRate):
		return errors.Newf("-jobs is %v; it must be from 0 to %d jobs a second", c.JobRate, MaxJobRate)
	case c.MaxRequests < 1 || c.MaxRequests > MaxCount:
		return errors.Newf("-max is %d; it must be from 1 to %d requests and jobs", c.MaxRequests, MaxCount)
	}
	return nil
}

func (c *Config) checkTimes() error {
	switch {
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return errors.Newf("-duration is %s; it must be above 0 and up to %s", c.Duration, MaxDuration)
	case c.MeanRunTime <= 0 || c.MeanRunTime > MaxDuration:
		return errors.Newf("-work is %s; it must be above 0 and up to %s", c.MeanRunTime, MaxDuration)
	case c.Timeout <= 0 || c.Timeout > MaxTimeout:
		return errors.Newf("-timeout is %s; it must be above 0 and up to %s", c.Timeout, MaxTimeout)
	case c.MeanJobRunTime <= 0 || c.MeanJobRunTime > MaxJobTimeout:
		return errors.Newf("-job-work is %s; it must be above 0 and up to %s", c.MeanJobRunTime, MaxJobTimeout)
	case c.JobTimeout <= 0 || c.JobTimeout > MaxJobTimeout:
		return errors.Newf("-job-wait is %s; it must be above 0 and up to %s", c.JobTimeout, MaxJobTimeout)
	case c.CancelInterval < 0 || c.CancelInterval > MaxDuration:
		return errors.Newf("-cancel-every is %s; it must be from 0 to %s", c.CancelInterval, MaxDuration)
	}
	return nil
}

func (c *Config) checkFractions() error {
	for _, fraction := range []struct {
		flag  string
		value float64
	}{{"-orders", c.OrderFraction}, {"-repeats", c.RepeatFraction}, {"-jobs-once", c.AtMostOnceFraction}, {"-cancel", c.CancelFraction}} {
		if !(fraction.value >= 0 && fraction.value <= 1) {
			return errors.Newf("%s is %v; it must be a fraction from 0 to 1", fraction.flag, fraction.value)
		}
	}
	return nil
}
