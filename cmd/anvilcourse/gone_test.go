package main

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/command"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/testbed"
)

// TestLimit_MostKilled kills three of four entries at once. The last one cannot
// know that they find no majority, so that their parts stay stranded until an
// operator states that they are gone. An entry that answers cannot be stated
// to be gone.
func TestLimit_MostKilled(t *testing.T) {
	l := startAmended(t, 8, 4, nil)
	ctx := context.Background()
	var dead []string
	for i := range 3 {
		status, err := l.OperatorClient(i).Status(ctx)
		require.NoError(t, err)
		dead = append(dead, status.Incarnation)
	}
	status, err := l.OperatorClient(3).Status(ctx)
	require.NoError(t, err)
	_, err = l.OperatorClient(0).EntryGone(ctx, status.Incarnation, api.EntryGoneRequest{By: "ana", Reason: "VM deleted"})
	requireRefusal(t, err, http.StatusConflict, "entry_answers")

	l.run(3, 12, 50*time.Millisecond)
	for i := range dead {
		l.Entries[i].Kill()
	}
	l.Wait("them to be removed", func() bool { return l.removed(3, 0) && l.removed(3, 1) && l.removed(3, 2) })
	require.Equal(t, 2, l.allotted(3), "the parts of the killed entries are stranded")

	for _, incarnation := range dead {
		l.stateGone(t, 3, incarnation)
	}
	l.Wait("their parts to be used", func() bool { return l.allotted(3) == 8 && l.ExecutionRecord().MaxRunning[l.team] == 8 })
	l.endLoad()
	require.LessOrEqual(t, l.ExecutionRecord().MaxRunning[l.team], l.limit)
}

// removed reports whether an entry sees another one as removed.
func (l *limited) removed(by, entry int) bool {
	state, ok := l.seen(by, entry)
	return ok && state == statemachine.EntryRemoved
}

// stateGone runs the operators' command.
func (l *limited) stateGone(t *testing.T, by int, incarnation string) {
	t.Helper()
	t.Setenv("ANVILCOURSE_OPERATOR_KEY", testbed.OperatorKey)
	var stdout, stderr bytes.Buffer
	args := []string{
		"member", "-entry", "http://" + l.Entries[by].Settings.Operators, "-by", "ana", "-reason", "VM deleted", "gone", incarnation,
	}
	require.Zero(t, command.Run(context.Background(), args, &stdout, &stderr), stderr.String())
}

func requireRefusal(t *testing.T, err error, status int, title string) {
	t.Helper()
	var problem *api.Problem
	require.True(t, errors.As(err, &problem), "%v", err)
	require.Equal(t, status, problem.Status)
	require.Equal(t, title, problem.Title)
}
