package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDuration bounds the time in which work is submitted.
	MaxDuration = 10 * time.Minute
	// MaxRate bounds the requests a second.
	MaxRate = 50000
	// MaxJobRate bounds the jobs a second.
	MaxJobRate = 1000
	// MaxCount bounds the number of requests and jobs.
	MaxCount = 5_000_000
	// MaxJobTimeout bounds the wait for the end of a job.
	MaxJobTimeout = 10 * time.Minute
	// MaxTimeout bounds the callers' patience.
	MaxTimeout = time.Minute
)

// Validate names the first setting that is out of its bounds, by the flag of the
// command that sets it.
func (c *Config) Validate() error {
	for _, check := range []func() error{c.checkRates, c.checkTimes, c.checkParts} {
		if err := check(); err != nil {
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

func (c *Config) checkParts() error {
	for _, part := range []struct {
		flag  string
		value float64
	}{{"-orders", c.OrderFraction}, {"-repeats", c.RepeatFraction}, {"-jobs-once", c.AtMostOnceFraction}, {"-cancel", c.CancelFraction}} {
		if !(part.value >= 0 && part.value <= 1) {
			return errors.Newf("%s is %v; it must be a part from 0 to 1", part.flag, part.value)
		}
	}
	return nil
}
