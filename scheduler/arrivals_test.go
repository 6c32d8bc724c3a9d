package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// simulatedArrivals returns the arrivals of a queue at the rate that perSecond gives.
func simulatedArrivals(base time.Time, length time.Duration, perSecond func(at time.Duration) float64, coreSeconds float64) arrivals {
	const step = time.Millisecond
	var out arrivals
	due := 0.0
	for at := time.Duration(0); at < length; at += step {
		due += perSecond(at) * step.Seconds()
		for ; due >= 1; due-- {
			out.add(arrival{at: base.Add(at), pool: testPool, coreSeconds: coreSeconds})
		}
	}
	return out
}

// TestArrivals_StartOfDemandPeak simulates a demand peak of the grown deployments: eighty
// jobs a second of 12 core-seconds at once. The demand must be detected before the
// longest window has filled.
func TestArrivals_StartOfDemandPeak(t *testing.T) {
	const (
		start = 2 * time.Second
		rate  = 80.0
		work  = 12.0
	)
	base := time.UnixMilli(1_000_000)
	rateAt := func(at time.Duration) float64 {
		if at < start {
			return rate / 20
		}
		return rate
	}
	a := simulatedArrivals(base, 2*start, rateAt, work)
	demandAfter := func(since time.Duration) float64 {
		upTo := base.Add(start + since)
		var observed arrivals
		for _, one := range a {
			if !one.at.After(upTo) {
				observed.add(one)
			}
		}
		return float64(observed.offeredLoad(upTo)[testPool]) / 1e3
	}
	require.Greater(t, demandAfter(200*time.Millisecond), 0.6*rate*work, "the demand peak is detected too late")
	require.InDelta(t, rate*work, demandAfter(1900*time.Millisecond), 0.25*rate*work, "the load of steady arrivals is wrong")
}

// TestArrivals_ForecastsGrowth simulates a queue whose demand grows steadily.
func TestArrivals_ForecastsGrowth(t *testing.T) {
	const work = 12.0
	base := time.UnixMilli(1_000_000)
	growing := func(at time.Duration) float64 { return 150 * at.Seconds() }
	const now = 1500 * time.Millisecond
	a := simulatedArrivals(base, now, growing, work)
	forecast := float64(a.offeredLoad(base.Add(now))[testPool]) / 1e3
	require.Greater(t, forecast, growing(now)*work, "growth is not forecast")
	require.LessOrEqual(t, forecast, (1+maxGrowth)*growing(now)*work*1.05)
}

// TestArrivals_FewJobs checks that two large jobs don't count as a demand peak.
func TestArrivals_FewJobs(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var a arrivals
	a.add(arrival{at: now, pool: testPool, coreSeconds: 60})
	a.add(arrival{at: now, pool: testPool, coreSeconds: 60})
	require.InDelta(t, 120/arrivalWindows[0].Seconds()*1e3, float64(a.offeredLoad(now)[testPool]), 1)
}

// TestArrivals_BacklogAtTakeover lets a new leader read at once what a queue received in
// the seconds without a leader: counted as arriving now, it would be a demand peak of
// several times the queue's rate, and the queue would get VMs that others need.
func TestArrivals_BacklogAtTakeover(t *testing.T) {
	const (
		perSecond = 20
		backlog   = 3 * time.Second
	)
	f := newTestFleet(t)
	f.addVM("a", testPool, 4)
	for i := range int(backlog.Seconds() * perSecond) {
		sub := f.newJob(fmt.Sprintf("%016x", i), fleet.Step{Count: 2, EstimateMillis: 500})
		sub.ArrivedMillis = f.now.Add(-backlog + time.Duration(i)*time.Second/perSecond).UnixMilli()
		f.s.Submit(sub, f.now)
	}
	const offered = perSecond * 1000 // One core-second a job, in millicores.
	require.Less(t, f.s.arrivals.offeredLoad(f.now)[testPool], int64(1.5*offered))
}
