package main

import (
	"bytes"
	"context"
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/command"
	"github.com/anvilcourse/anvilcourse/load"
	"github.com/anvilcourse/anvilcourse/testbed"
)

// runLoad runs the load command against the system and returns its report.
func runLoad(t testing.TB, sys *testbed.System, catalog string, args ...string) load.Report {
	t.Helper()
	t.Setenv("ANVILCOURSE_OPERATOR_KEY", testbed.OperatorKey)
	args = append([]string{"load", "-json", "-entry", "http://" + sys.Entries[0].Settings.Operators}, args...)
	args = append(args, catalog)
	var stdout, stderr bytes.Buffer
	require.Zero(t, command.Run(context.Background(), args, &stdout, &stderr), stderr.String())
	var report load.Report
	require.NoError(t, json.Unmarshal(stdout.Bytes(), &report))
	return report
}

// TestLoad_ReportsEveryRequest checks that the command answers for each request
// it has sent and that the keys it used are withdrawn.
func TestLoad_ReportsEveryRequest(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 2)
	plot := filepath.Join(t.TempDir(), "load.svg")
	report := runLoad(t, sys, "../../examples/apitt/catalog.json", "-rate", "200", "-duration", "2s", "-work", "5ms", "-max", "300", "-orders", "0.1", "-plot", plot)
	require.Len(t, report.Teams, len(catalog.Workspaces))
	sent := 0
	for _, team := range report.Teams {
		sent += team.Sent
		require.Zero(t, team.Failed+team.Unknown+team.WrongAnswers)
	}
	require.Positive(t, sent)
	require.LessOrEqual(t, sent, 300)
	require.FileExists(t, plot)
	require.GreaterOrEqual(t, sent, len(sys.ExecutionRecord().Starts))
}

// TestLoad_KeepsItsPromises drives requests, orders sent twice, jobs that run
// at most once and waves of cancellations, and holds every promise against the
// workers' own record.
func TestLoad_KeepsItsPromises(t *testing.T) {
	sys, _ := startUser(t, "pakhtun", 2)
	report := runLoad(t, sys, "../../examples/pakhtun/catalog.json", "-rate", "100", "-duration", "4s", "-work", "5ms", "-orders", "0.2",
		"-repeats", "0.5", "-jobs", "20", "-job-work", "200ms", "-cancel", "0.4", "-cancel-every", "2s", "-record", sys.PlatformURL)
	var sent []load.Class
	for _, class := range report.Classes {
		sent = append(sent, class.Class)
	}
	require.Equal(t, []load.Class{load.ClassRequest, load.ClassOrder, load.ClassJobAtMostOnce}, sent)
	for _, p := range report.Guarantees {
		require.True(t, p.Checked, p.Name)
		require.Zero(t, p.Violations, "%s: %s", p.Name, p.Detail)
	}
	require.Zero(t, report.UnfinishedJobs)
}

// TestLoad_FailsOnABrokenPromise checks the exit code: no job of this load can
// end within its wait.
func TestLoad_FailsOnABrokenPromise(t *testing.T) {
	sys, _ := startUser(t, "apitt", 1)
	t.Setenv("ANVILCOURSE_OPERATOR_KEY", testbed.OperatorKey)
	var stdout, stderr bytes.Buffer
	args := []string{"load", "-entry", "http://" + sys.Entries[0].Settings.Operators, "-duration", "1s", "-work", "5ms",
		"-jobs", "20", "-job-work", "10m", "-job-wait", "1s", "../../examples/apitt/catalog.json"}
	require.Equal(t, 1, command.Run(context.Background(), args, &stdout, &stderr))
	require.Contains(t, stderr.String(), "promises broke")
	require.Contains(t, stdout.String(), "BROKEN")
}
