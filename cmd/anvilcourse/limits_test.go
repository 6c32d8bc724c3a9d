package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const limitedEntries = 3

// limited is a running system in which one team's limit is small enough to be
// reached.
type limited struct {
	*testbed.System
	team  string
	queue string
	key   string
	limit int
	load  sync.WaitGroup
	stop  context.CancelFunc
	ctx   context.Context
}

func startLimited(t testing.TB, limit int) *limited {
	t.Helper()
	return startAmended(t, limit, limitedEntries, nil)
}

func startAmended(t testing.TB, limit, entries int, amend func(*settings.Entry)) *limited {
	t.Helper()
	s, err := examples.Standin("apitt")
	require.NoError(t, err)
	catalog, err := examples.Catalog("apitt")
	require.NoError(t, err)
	workspace := &catalog.Workspaces[0]
	workspace.Limit = limit
	l := &limited{System: testbed.NewWithSettings(t, s, entries, amend), team: workspace.Team, queue: workspace.Name + ".quotes", limit: limit}
	l.ApplyCatalog(catalog)
	l.WaitCapacity(50, l.team, limit)
	l.key = l.GrantKey(workspace.Name).Key
	l.ctx, l.stop = context.WithCancel(context.Background())
	t.Cleanup(l.endLoad)
	return l
}

// run keeps the number of requests on their way through the entry, each of
// the run time, until the load ends.
func (l *limited) run(entry, parallel int, work time.Duration) {
	body := fmt.Appendf(nil, `{"work_ms":%d}`, work.Milliseconds())
	client := l.Client(entry, l.key)
	for range parallel {
		l.load.Go(func() {
			for l.ctx.Err() == nil {
				ctx, cancel := context.WithTimeout(l.ctx, work+2*time.Second)
				_, _ = client.Submit(ctx, l.queue, body, work+time.Second, "")
				cancel()
			}
		})
	}
}

func (l *limited) endLoad() {
	l.stop()
	l.load.Wait()
}

func (l *limited) running() int { return l.ExecutionRecord().Running[l.team] }

// entry returns the entry's line in another entry's view, or false.
func (l *limited) seen(by, entry int) (statemachine.EntryState, bool) {
	status, err := l.OperatorClient(by).Status(context.Background())
	if err != nil {
		return "", true
	}
	for _, e := range status.Entries {
		if e.Name == l.Entries[entry].Settings.Name {
			return e.State, true
		}
	}
	return "", false
}

// allotted is the sum of the allotments of the entries from the first on.
func (l *limited) allotted(from int) int {
	sum := 0
	for i := from; i < len(l.Entries); i++ {
		status, err := l.OperatorClient(i).Status(context.Background())
		if err != nil {
			return -1
		}
		sum += status.Teams[l.team].Allotted
	}
	return sum
}

// clearAtOnce writes what a clearing without any wait would write.
func (l *limited) clearAtOnce(t *testing.T, incarnation string) {
	t.Helper()
	const writer = "naive-clearer"
	payload, err := statemachine.EncodeBatch(statemachine.Batch{Writer: writer, AtMS: time.Now().UnixMilli(), Records: []statemachine.Record{
		{Seq: 1, Command: &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: writer, Name: writer, PeerAddress: "127.0.0.1:9"}}},
		{Seq: 2, Command: &statemachine.EntryRemove{Incarnation: incarnation}},
		{Seq: 3, Command: &statemachine.EntryReclaim{Incarnation: incarnation}},
		{Seq: 4, Command: &statemachine.EntryLeave{Incarnation: writer}},
	}})
	require.NoError(t, err)
	_, err = provider.NewHTTPLog(l.PlatformURL, http.DefaultClient).Append(context.Background(), "control", [][]byte{payload})
	require.NoError(t, err)
}

// TestLimit_NaiveClearBreaksIt shows why a removed entry is not cleared at
// once: its tasks run on while others start up to the limit.
func TestLimit_NaiveClearBreaksIt(t *testing.T) {
	l := startLimited(t, 6)
	status, err := l.OperatorClient(0).Status(context.Background())
	require.NoError(t, err)
	l.run(0, 4, 12*time.Second)
	// It may run more by then than its own part: the others lend what they do
	// not use.
	l.Wait("the first entry to run its part", func() bool { return l.running() >= 2 })
	l.Entries[0].Pause()
	l.clearAtOnce(t, status.Incarnation)
	l.run(1, 6, time.Second)
	l.run(2, 6, time.Second)
	l.Wait("the limit to break", func() bool { return l.ExecutionRecord().MaxRunning[l.team] > l.limit })
}

// TestLimit_PausedHolder pauses an entry in the middle of load for longer than
// any lease. The others remove it, make sure, clear it and use its part; it
// goes on after that, and stops. The workers' own record never shows more
// than the limit.
func TestLimit_PausedHolder(t *testing.T) {
	l := startLimited(t, 6)
	for i := range l.Entries {
		l.run(i, 5, 30*time.Millisecond)
	}
	l.run(0, 2, 3*time.Second)
	l.Wait("the limit to be reached", func() bool { return l.ExecutionRecord().MaxRunning[l.team] == l.limit })
	l.Entries[0].Pause()
	paused := time.Now()
	l.Wait("the paused entry to be removed", func() bool {
		state, ok := l.seen(1, 0)
		return ok && state == statemachine.EntryRemoved
	})
	t.Logf("removed after %v", time.Since(paused))
	l.Wait("its allotments to be reused", func() bool { return l.allotted(1) == l.limit })
	t.Logf("allotments in use again after %v", time.Since(paused))
	l.run(1, 6, 100*time.Millisecond)
	l.Wait("the limit to be reached without it", func() bool { return l.running() == l.limit })
	l.Entries[0].Resume()
	require.Equal(t, 1, l.Entries[0].WaitExit(t), "a removed entry stops with a failure")
	require.Contains(t, l.Entries[0].Output(), "removed from the membership")
	require.Equal(t, l.limit, l.ExecutionRecord().MaxRunning[l.team])
}
