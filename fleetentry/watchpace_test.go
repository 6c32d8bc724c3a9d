package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWatchPace_Reads tells, for each read, whether it waits.
func TestWatchPace_Reads(t *testing.T) {
	const most = 300 * time.Millisecond
	type read struct {
		brought bool
		waits   bool
	}
	cases := []struct {
		name  string
		reads []read
	}{
		{name: "records come", reads: []read{{true, true}, {true, true}}},
		{name: "nothing comes", reads: []read{{false, true}, {false, false}, {false, true}, {false, false}}},
		{name: "a watch misses records", reads: []read{{false, true}, {true, false}, {true, false}, {false, false}, {true, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p watchPace
			now := time.UnixMilli(1_000_000)
			for i, r := range c.reads {
				wait := p.wait(now, most)
				require.Equal(t, r.waits, wait > 0, "read %d", i)
				now = now.Add(wait)
				p.took(now, wait, r.brought)
			}
		})
	}
}

func TestWatchPace_WatchesAreTriedAgain(t *testing.T) {
	var p watchPace
	now := time.UnixMilli(1_000_000)
	p.took(now, time.Second, false)
	p.took(now, 0, true)
	require.Zero(t, p.wait(now.Add(deafSpan-1), time.Second))
	require.Equal(t, time.Second, p.wait(now.Add(deafSpan), time.Second))
}
