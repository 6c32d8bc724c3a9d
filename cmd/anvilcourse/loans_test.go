package main

import (
	"context"
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
	l.Wait("one entry to use the whole limit but the reserves", func() bool { return l.ExecutionRecord().MaxRunning[l.team] > l.limit/2 })
	l.SetLogFaults(standin.LogFaults{Unavailable: true})
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
	require.Equal(t, l.limit, l.ExecutionRecord().MaxRunning[l.team])
}

// TestLimit_JoinsDuringOutage starts an entry while the log is down. It reads
// the configuration from the others, holds no part of the limit and serves all
// the same, under loans. Load at every entry reaches the limit and stays there.
// Once the log is back the entry gets a part of its own.
func TestLimit_JoinsDuringOutage(t *testing.T) {
	l := startLimited(t, 12)
	l.SetLogFaults(standin.LogFaults{Unavailable: true})
	late := l.AddEntry()
	l.run(late, 8, 50*time.Millisecond)
	l.Wait("the late entry to work under loans", func() bool {
		status, err := l.OperatorClient(late).Status(context.Background())
		return err == nil && status.Teams[l.team].Allotted == 0 && status.Teams[l.team].UnderLoans > 0
	})
	require.Positive(t, l.running())
	l.run(0, 14, 50*time.Millisecond)
	l.Wait("the limit to be reached", func() bool { return l.ExecutionRecord().MaxRunning[l.team] == l.limit })
	l.SetLogFaults(standin.LogFaults{})
	l.Wait("the late entry to get a part of its own", func() bool {
		status, err := l.OperatorClient(late).Status(context.Background())
		return err == nil && status.Teams[l.team].Allotted > 0
	})
	l.endLoad()
	require.Equal(t, l.limit, l.ExecutionRecord().MaxRunning[l.team])
}
