package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStallDetector_Reads checks whether each read waits.
func TestStallDetector_Reads(t *testing.T) {
	const maxWait = 300 * time.Millisecond
	type read struct {
		hasRecords bool
		waits      bool
	}
	cases := []struct {
		name  string
		reads []read
	}{
		{name: "records arrive", reads: []read{{true, true}, {true, true}}},
		{name: "no records arrive", reads: []read{{false, true}, {false, false}, {false, true}, {false, false}}},
		{name: "a watch misses records", reads: []read{{false, true}, {true, false}, {true, false}, {false, false}, {true, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var detector stallDetector
			now := time.UnixMilli(1_000_000)
			for i, r := range c.reads {
				wait := detector.wait(now, maxWait)
				require.Equal(t, r.waits, wait > 0, "read %d", i)
				now = now.Add(wait)
				detector.observe(now, wait, r.hasRecords)
			}
		})
	}
}

func TestStallDetector_ResumesWaiting(t *testing.T) {
	var detector stallDetector
	now := time.UnixMilli(1_000_000)
	detector.observe(now, time.Second, false)
	detector.observe(now, 0, true)
	require.Zero(t, detector.wait(now.Add(stallPeriod-1), time.Second))
	require.Equal(t, time.Second, detector.wait(now.Add(stallPeriod), time.Second))
}
