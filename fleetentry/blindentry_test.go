package fleetentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTakeover_EntryThatCannotReadKeepsOthersFromLeading lets the store reject one
// entry's reads of the entries' streams while it serves another entry.
func TestTakeover_EntryThatCannotReadKeepsOthersFromLeading(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1)
	first := p.leader()
	rejecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Query().Get("topic"), "keyed.jobs") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		p.store.ServeHTTP(w, r)
	}))
	t.Cleanup(rejecting.Close)
	path := p.submit("desk", longRunningJob(1, 0))
	require.Eventually(t, func() bool { return p.fleet.Running(jobIDOf(path)) == 1 }, 5*time.Second, 10*time.Millisecond)
	working := p.storeAddress
	p.storeAddress = rejecting.Listener.Addr().String()
	p.startEntry()
	p.storeAddress = working
	time.Sleep(electionJitter)
	p.startEntry()
	time.Sleep(startupPeriod)
	crash(first)
	lost := time.Now()
	p.leader()
	require.Less(t, time.Since(lost), takeoverTimeout)
	require.Equal(t, 1, p.fleet.Starts(jobIDOf(path)+".0.0.0"))
}

// TestTakeover_ResignsIfItCannotRead lets the only entry that is left try to take over
// while it cannot read a submission: it gives the leadership back for another to claim.
func TestTakeover_ResignsIfItCannotRead(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1)
	p.leader()
	path := p.submit("desk", longRunningJob(1, 0))
	require.Eventually(t, func() bool { return p.fleet.Running(jobIDOf(path)) == 1 }, 5*time.Second, 10*time.Millisecond)
	p.crashAll()
	p.rejectReads("keyed.jobs", 20*time.Second)
	blind := p.startEntry()
	resigned := func() bool {
		blind.follower.mu.RLock()
		defer blind.follower.mu.RUnlock()
		return blind.follower.view.Leader.Resigned && blind.follower.view.Leader.TakeoverFailed
	}
	require.Eventually(t, resigned, 10*time.Second, 10*time.Millisecond)
}
