package main

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/command"
	"github.com/anvilcourse/anvilcourse/testbed"
)

// TestWatch_LiveViews checks that the live views of the whole system give one
// JSON object per line and end by themselves at their bound.
func TestWatch_LiveViews(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 2)
	t.Setenv("ANVILCOURSE_OPERATOR_KEY", testbed.OperatorKey)
	entry := "http://" + sys.Entries[0].Settings.Operators
	lines := func(args ...string) []map[string]any {
		var stdout, stderr bytes.Buffer
		args = append(args, "-json", "-entry", entry, "-every", "100ms", "-for", "1s")
		require.Zero(t, command.Run(context.Background(), args, &stdout, &stderr), stderr.String())
		var out []map[string]any
		for line := range strings.Lines(stdout.String()) {
			var object map[string]any
			require.NoError(t, json.Unmarshal([]byte(line), &object), line)
			out = append(out, object)
		}
		require.NotEmpty(t, out)
		return out
	}
	look := lines("status", "-watch")[0]
	require.EqualValues(t, 2, look["entries"])
	require.Len(t, look["teams"], len(catalog.Workspaces))
	require.Len(t, look["pools"], len(catalog.Pools))
	seen := make(map[string]bool)
	for _, event := range lines("timeline", "-follow") {
		number, err := json.Marshal([]any{event["entry"], event["seq"]})
		require.NoError(t, err)
		require.False(t, seen[string(number)], "each event is shown once")
		seen[string(number)] = true
	}
}
