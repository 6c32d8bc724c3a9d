package load

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRun_SeesEachBrokenPromise drives a fake entry that breaks one promise a
// time. Naming no fault, the load must find none.
func TestRun_SeesEachBrokenPromise(t *testing.T) {
	for _, c := range []struct {
		fault  entryFault
		broken string
	}{
		{fault: ""},
		{fault: crossedAnswers, broken: promiseWhole},
		{fault: startsTwice, broken: promiseOnce},
		{fault: refusesAndRuns, broken: promiseNotRun},
		{fault: neverEnds, broken: promiseJobs},
		{fault: endsUnexplained, broken: promiseJobs},
		{fault: forgetsStarts, broken: promiseRan},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			fake, server := startFake(t, c.fault)
			cfg := fakeConfig(t, fake, server)
			if c.fault == neverEnds {
				cfg.JobTimeout = 500 * time.Millisecond
			}
			report, err := Run(context.Background(), cfg)
			require.NoError(t, err)
			require.Zero(t, fake.keys, "every key is withdrawn")
			for _, p := range report.Guarantees {
				require.True(t, p.Checked, p.Name)
				require.Equal(t, p.Name == c.broken, p.Violations > 0, "%s: %d, %s", p.Name, p.Violations, p.Detail)
			}
			sent := 0
			for _, class := range report.Classes {
				sent += class.Sent
			}
			require.Equal(t, 100, sent)
		})
	}
}

// TestRun_CancelsJobs checks that every job of a run that cancels all ends as
// cancelled, or was done before.
func TestRun_CancelsJobs(t *testing.T) {
	fake, server := startFake(t, "")
	cfg := fakeConfig(t, fake, server)
	cfg.CancelFraction, cfg.MeanJobRunTime = 1, time.Microsecond
	report, err := Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Zero(t, report.Violations())
	jobs := report.Classes[len(report.Classes)-1]
	require.Equal(t, ClassJob, jobs.Class)
	require.Positive(t, jobs.Outcomes["cancelled"])
	require.Equal(t, jobs.Sent, jobs.Outcomes["cancelled"]+jobs.Outcomes["done"])
}

// TestRun_InterruptedReports checks that an interrupted run reports what it
// has sent, and that jobs it no longer watches break no promise.
func TestRun_InterruptedReports(t *testing.T) {
	fake, server := startFake(t, neverEnds)
	cfg := fakeConfig(t, fake, server)
	cfg.JobTimeout, cfg.MaxRequests = time.Minute, 1_000_000
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cfg.ProgressInterval = 10 * time.Millisecond
	cfg.Progress = func(p Progress) {
		if p.UnfinishedJobs > 0 && p.Answered > 0 {
			cancel()
		}
	}
	report, err := Run(ctx, cfg)
	require.NoError(t, err)
	require.True(t, report.Interrupted)
	require.Positive(t, report.UnfinishedJobs)
	require.Zero(t, report.Violations())
	require.Zero(t, fake.keys)
	var out bytes.Buffer
	require.NoError(t, report.Print(&out))
	require.Contains(t, out.String(), "interrupted after")
	require.Contains(t, out.String(), "not watched to their end")
}

// TestPromises_NotCheckedWithoutRecord checks that a promise is not called
// kept without the record that shows it.
func TestPromises_NotCheckedWithoutRecord(t *testing.T) {
	r := newRunner(Config{})
	for _, p := range r.promises(&Report{})[1:] {
		require.False(t, p.Checked, p.Name)
		require.Equal(t, "not checked", p.result())
	}
}

// TestCheck_NamesTheSetting lists settings out of their bounds.
func TestCheck_NamesTheSetting(t *testing.T) {
	good := Config{
		Rate: 1, Duration: time.Second, MaxRequests: 1, MeanRunTime: time.Second, Timeout: time.Second,
		MeanJobRunTime: time.Second, JobTimeout: time.Second,
	}
	require.NoError(t, good.Validate())
	for flag, amend := range map[string]func(*Config){
		"-rate is 0;":           func(c *Config) { c.Rate = 0 },
		"-rate is NaN;":         func(c *Config) { c.Rate = math.NaN() },
		"-rate is +Inf;":        func(c *Config) { c.Rate = math.Inf(1) },
		"-jobs is -1;":          func(c *Config) { c.JobRate = -1 },
		"-max is 0;":            func(c *Config) { c.MaxRequests = 0 },
		"-duration is 11m0s;":   func(c *Config) { c.Duration = 11 * time.Minute },
		"-work is 0s;":          func(c *Config) { c.MeanRunTime = 0 },
		"-timeout is 2m0s;":     func(c *Config) { c.Timeout = 2 * time.Minute },
		"-job-work is -1s;":     func(c *Config) { c.MeanJobRunTime = -time.Second },
		"-job-wait is 0s;":      func(c *Config) { c.JobTimeout = 0 },
		"-cancel-every is -1s;": func(c *Config) { c.CancelInterval = -time.Second },
		"-orders is 1.5;":       func(c *Config) { c.OrderFraction = 1.5 },
		"-repeats is -1;":       func(c *Config) { c.RepeatFraction = -1 },
		"-jobs-once is NaN;":    func(c *Config) { c.AtMostOnceFraction = math.NaN() },
		"-cancel is 2;":         func(c *Config) { c.CancelFraction = 2 },
	} {
		c := good
		amend(&c)
		require.ErrorContains(t, c.Validate(), flag)
	}
}

// TestCancelTime_JoinsWaves checks that cancellations wait for the next common
// time.
func TestCancelTime_JoinsWaves(t *testing.T) {
	r := newRunner(Config{CancelInterval: 5 * time.Second})
	require.Equal(t, 5*time.Second, r.cancelTime(time.Millisecond))
	require.Equal(t, 5*time.Second, r.cancelTime(5*time.Second))
	require.Equal(t, 10*time.Second, r.cancelTime(5*time.Second+1))
}

// TestRun_WatchesJobsPastADeadEntry checks that a job is watched and cancelled
// through the entries that answer.
func TestRun_WatchesJobsPastADeadEntry(t *testing.T) {
	fake, server := startFake(t, "")
	fake.dead = "127.0.0.1:1"
	cfg := fakeConfig(t, fake, server)
	cfg.JobTimeout, cfg.CancelFraction = 5*time.Second, 0.5
	report, err := Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Zero(t, report.UnfinishedJobs)
	require.Zero(t, report.Violations())
}
