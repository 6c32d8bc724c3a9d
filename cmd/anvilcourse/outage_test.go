package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/standin"
)

// TestOutage_StartsFromPeer starts an entry while the log is down. It learns
// the configuration from a peer and works on what the others lend, as long as
// the outage lasts, and joins by itself when the log is back.
func TestOutage_StartsFromPeer(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 2)
	workspace := catalog.Workspaces[0].Name
	queue := workspace + ".quotes"
	key, foreign := sys.GrantKey(workspace), sys.GrantKey(catalog.Workspaces[1].Name)

	sys.SetLogFaults(standin.LogFaults{Unavailable: true})
	late := sys.AddEntry()
	sys.WaitReady(late)
	sys.Wait("an answer on loan", func() bool {
		return submitStatus(sys, late, key.Key, queue) == http.StatusOK
	})
	until := time.Now().Add(pastOwnProof)
	for time.Now().Before(until) {
		require.Equal(t, http.StatusOK, submitStatus(sys, late, key.Key, queue))
		require.Equal(t, http.StatusForbidden, submitStatus(sys, late, foreign.Key, queue))
		time.Sleep(20 * time.Millisecond)
	}
	status, err := sys.OperatorClient(0).Status(context.Background())
	require.NoError(t, err)
	require.Len(t, status.Entries, 2)

	sys.SetLogFaults(standin.LogFaults{})
	sys.Wait("the late entry to join", func() bool {
		status, err := sys.OperatorClient(0).Status(context.Background())
		return err == nil && len(status.Entries) == 3
	})
	require.Equal(t, http.StatusOK, submitStatus(sys, late, key.Key, queue))
}
