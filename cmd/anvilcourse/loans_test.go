package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/standin"
)

// TestLimit_LoansUnderFaults sends all demand of a team to one entry, so that
// most of what it starts runs under loans, and then takes the log away, kills
// one lender and pauses the other for longer than a loan. The workers' own
// record reaches the limit and stays there.
func TestLimit_LoansUnderFaults(t *testing.T) {
	l := startLimited(t, 12)
	l.run(0, 14, 40*time.Millisecond)
	l.Wait("one entry to use the whole limit but the reserves", func() bool { return l.Record().MaxRunning[l.team] > l.limit/2 })
	l.SetLogFaults(standin.LogFaults{Down: true})
	l.run(1, 4, 50*time.Millisecond)
	l.Entries[2].Kill()
	l.Wait("work to go on without the log", func() bool { return l.running() > l.limit/2 })
	l.Entries[1].Pause()
	l.Wait("the last entry to stop without a majority", func() bool { return l.running() == 0 })
	l.Entries[1].Resume()
	l.Wait("two of three entries to go on", func() bool { return l.running() > 0 })
	l.SetLogFaults(standin.LogFaults{})
	l.Wait("the killed lender to be cleared", func() bool {
		_, known := l.seen(0, 2)
		return !known
	})
	l.Wait("the limit to be reached again", func() bool { return l.running() == l.limit })
	l.endLoad()
	require.Equal(t, l.limit, l.Record().MaxRunning[l.team])
}
