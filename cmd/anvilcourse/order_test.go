package main

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const orderPatience = 12 * time.Second

func newOrderKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

func requireProblem(t *testing.T, err error, status int, outcome string) {
	t.Helper()
	var problem *api.Problem
	require.True(t, errors.As(err, &problem), "%v", err)
	require.Equal(t, status, problem.Status, problem.Detail)
	require.Equal(t, outcome, problem.Outcome)
}

// TestOrder_AtMostOnceThroughKilledEntry kills the entry that runs an order
// and repeats the order through the others: one start, one answer.
func TestOrder_AtMostOnceThroughKilledEntry(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 3)
	workspace := catalog.Workspaces[0]
	queue := workspace.Name + ".certificates"
	key := sys.GrantKey(workspace.Name)
	ctx := context.Background()
	submit := func(entry int, body, name string, patience time.Duration) (api.Reply, error) {
		return sys.Client(entry, key.Key).Submit(ctx, queue, []byte(body), patience, name)
	}
	starts := func(name string) int {
		return sys.ExecutionRecord().Starts[statemachine.OrderID(workspace.Team, name)]
	}

	running := newOrderKey(t)
	const body = `{"work_ms":2000}`
	go func() { _, _ = submit(0, body, running, orderPatience) }()
	sys.Wait("the order to run", func() bool { return starts(running) == 1 })
	sys.Entries[0].Kill()
	_, err := submit(1, body, running, 100*time.Millisecond)
	requireProblem(t, err, 409, "unknown")
	first, err := submit(1, body, running, orderPatience)
	require.NoError(t, err)
	again, err := submit(2, body, running, orderPatience)
	require.NoError(t, err)
	require.Equal(t, first.Body, again.Body)
	require.Equal(t, 1, starts(running))
	_, err = submit(2, `{}`, running, orderPatience)
	requireProblem(t, err, 409, "not_run")

	sys.SetLogFaults(standin.LogFaults{Unavailable: true})
	down := newOrderKey(t)
	_, err = submit(1, body, down, orderPatience)
	requireProblem(t, err, 503, "not_run")
	again, err = submit(2, body, running, orderPatience)
	require.NoError(t, err)
	require.Equal(t, first.Body, again.Body)
	require.Zero(t, starts(down))

	sys.SetLogFaults(standin.LogFaults{DropReplies: 3})
	sys.Wait("the log to be read", func() bool {
		_, err = submit(1, `{}`, down, orderPatience)
		return err == nil
	})
	require.Equal(t, 1, starts(down))
}
