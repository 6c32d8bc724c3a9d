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
	// MaxJobWait bounds the wait for the end of a job.
	MaxJobWait = 10 * time.Minute
	// MaxTimeout bounds the callers' patience.
	MaxTimeout = time.Minute
)

// Check names the first setting that is out of its bounds, by the flag of the
// command that sets it.
func (c *Config) Check() error {
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
	case !(c.Jobs >= 0 && c.Jobs <= MaxJobRate):
		return errors.Newf("-jobs is %v; it must be from 0 to %d jobs a second", c.Jobs, MaxJobRate)
	case c.MaxRequests < 1 || c.MaxRequests > MaxCount:
		return errors.Newf("-max is %d; it must be from 1 to %d requests and jobs", c.MaxRequests, MaxCount)
	}
	return nil
}

func (c *Config) checkTimes() error {
	switch {
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return errors.Newf("-duration is %s; it must be above 0 and up to %s", c.Duration, MaxDuration)
	case c.Work <= 0 || c.Work > MaxDuration:
		return errors.Newf("-work is %s; it must be above 0 and up to %s", c.Work, MaxDuration)
	case c.Timeout <= 0 || c.Timeout > MaxTimeout:
		return errors.Newf("-timeout is %s; it must be above 0 and up to %s", c.Timeout, MaxTimeout)
	case c.JobWork <= 0 || c.JobWork > MaxJobWait:
		return errors.Newf("-job-work is %s; it must be above 0 and up to %s", c.JobWork, MaxJobWait)
	case c.JobWait <= 0 || c.JobWait > MaxJobWait:
		return errors.Newf("-job-wait is %s; it must be above 0 and up to %s", c.JobWait, MaxJobWait)
	case c.CancelEvery < 0 || c.CancelEvery > MaxDuration:
		return errors.Newf("-cancel-every is %s; it must be from 0 to %s", c.CancelEvery, MaxDuration)
	}
	return nil
}

func (c *Config) checkParts() error {
	for _, part := range []struct {
		flag  string
		value float64
	}{{"-orders", c.Orders}, {"-repeats", c.Repeats}, {"-jobs-once", c.JobsOnce}, {"-cancel", c.Cancel}} {
		if !(part.value >= 0 && part.value <= 1) {
			return errors.Newf("%s is %v; it must be a part from 0 to 1", part.flag, part.value)
		}
	}
	return nil
}
