package main

import (
	"context"
	"debug/elf"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/testbed"
)

// withdrawalBound is the time within which a withdrawn key is out of force
// everywhere.
const withdrawalBound = 3 * time.Second

func startUser(t *testing.T, user string, entries int) (*testbed.System, settings.Catalog) {
	t.Helper()
	s, err := examples.Standin(user)
	require.NoError(t, err)
	catalog, err := examples.Catalog(user)
	require.NoError(t, err)
	sys := testbed.New(t, s, entries)
	sys.ApplyCatalog(catalog)
	sys.WaitCapacity(50, catalog.Workspaces[0].Team, catalog.Workspaces[0].Limit)
	return sys, catalog
}

func submitOK(t *testing.T, client *api.Client, queue, body string) {
	t.Helper()
	reply, err := client.Submit(context.Background(), queue, []byte(body), 5*time.Second, "")
	require.NoError(t, err)
	var answer standin.TaskAnswer
	require.NoError(t, json.Unmarshal(reply.Body, &answer))
	require.Equal(t, standin.Digest([]byte(body)), answer.Digest)
	require.Equal(t, reply.Request, answer.Task)
}

func statusOf(err error) int {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.Status
	}
	return 0
}

// TestPath_ThroughEveryEntry covers the whole path over separate processes:
// answers through each entry, the loss of one, and a withdrawn key.
func TestPath_ThroughEveryEntry(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 3)
	queue := catalog.Workspaces[0].Name + ".quotes"
	key := sys.GrantKey(catalog.Workspaces[0].Name)
	for i := range sys.Entries {
		submitOK(t, sys.Client(i, key.Key), queue, `{"work_ms":5}`)
	}

	sys.Entries[0].Kill()
	for i := 1; i < len(sys.Entries); i++ {
		submitOK(t, sys.Client(i, key.Key), queue, `{"work_ms":5}`)
	}

	start := time.Now()
	withdrawn := make(chan error, 1)
	go func() {
		_, err := sys.OperatorClient(1).WithdrawKey(context.Background(), key.Hash)
		withdrawn <- err
	}()
	sys.Wait("the key to be refused at every entry", func() bool {
		for i := 1; i < len(sys.Entries); i++ {
			_, err := sys.Client(i, key.Key).Submit(context.Background(), queue, []byte(`{}`), time.Second, "")
			if statusOf(err) != 401 {
				return false
			}
		}
		return true
	})
	require.Less(t, time.Since(start), withdrawalBound)
	require.NoError(t, <-withdrawn)
}

// TestPath_Metrics checks that the entry counts what it answers.
func TestPath_Metrics(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 1)
	queue := catalog.Workspaces[0].Name + ".quotes"
	key := sys.GrantKey(catalog.Workspaces[0].Name)
	submitOK(t, sys.Client(0, key.Key), queue, `{"work_ms":1}`)
	_, err := sys.Client(0, "").Submit(context.Background(), queue, nil, 0, "")
	require.Equal(t, 401, statusOf(err))
	var vars struct {
		Anvilcourse struct {
			Requests map[string]int `json:"requests"`
			Reasons  map[string]int `json:"requests_without_answer"`
			Current  bool           `json:"control_current"`
		} `json:"anvilcourse"`
	}
	require.NoError(t, sys.OperatorClient(0).Get(context.Background(), "/debug/vars", &vars))
	require.Equal(t, map[string]int{"answered": 1, "not_run": 1}, vars.Anvilcourse.Requests)
	require.Equal(t, map[string]int{"no_key": 1}, vars.Anvilcourse.Reasons)
	require.True(t, vars.Anvilcourse.Current)
}

// TestPath_GracefulStop checks that a planned stop of an entry cuts nothing.
func TestPath_GracefulStop(t *testing.T) {
	sys, catalog := startUser(t, "pakhtun", 2)
	queue := catalog.Workspaces[0].Name + ".matches"
	key := sys.GrantKey(catalog.Workspaces[0].Name)
	result := make(chan error)
	go func() {
		_, err := sys.Client(0, key.Key).Submit(context.Background(), queue, []byte(`{"work_ms":1500}`), 5*time.Second, "")
		result <- err
	}()
	sys.Wait("the request to run", func() bool { return sys.ExecutionRecord().Running[catalog.Workspaces[0].Team] == 1 })
	require.Equal(t, 0, sys.Entries[0].Stop(t))
	require.NoError(t, <-result)
	require.Zero(t, sys.ExecutionRecord().InterruptedTasks)
	submitOK(t, sys.Client(1, key.Key), queue, `{"work_ms":5}`)
}

// TestBinary_LinksLibc checks that the binary is linked to the C library as
// usual.
func TestBinary_LinksLibc(t *testing.T) {
	file, err := elf.Open(testbed.Binary(t))
	require.NoError(t, err)
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libraries, "libc.so.6")
}
