package main

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestJob_OutlivesItsEntry kills the entry that carries a job out: another
// takes it over and the answer is there, after one start. It cancels another
// job and looks at both with a foreign key.
func TestJob_OutlivesItsEntry(t *testing.T) {
	sys, catalog := startUser(t, "apitt", 3)
	queue := catalog.Workspaces[0].Name + ".accounts"
	key, foreign := sys.GrantKey(catalog.Workspaces[0].Name), sys.GrantKey(catalog.Workspaces[1].Name)
	ctx := context.Background()
	const body = `{"work_ms":3000}`
	submitted, err := sys.Client(0, key.Key).SubmitJob(ctx, queue, []byte(body), "")
	require.NoError(t, err)
	sys.Wait("the job to run", func() bool { return sys.ExecutionRecord().Starts[submitted.ID] == 1 })
	sys.Entries[0].Kill()

	long, err := sys.Client(1, key.Key).SubmitJob(ctx, queue, []byte(`{"work_ms":600000}`), "")
	require.NoError(t, err)
	sys.Wait("the long job to run", func() bool { return sys.ExecutionRecord().Starts[long.ID] == 1 })
	_, err = sys.Client(2, foreign.Key).GetJob(ctx, long.ID)
	requireProblem(t, err, 404, "not_run")
	requireProblem(t, sys.Client(2, foreign.Key).CancelJob(ctx, long.ID), 404, "not_run")
	require.NoError(t, sys.Client(2, key.Key).CancelJob(ctx, long.ID))
	awaitJob(t, sys.Wait, sys.Client(1, key.Key), long.ID, statemachine.JobCancelled)

	done := awaitJob(t, sys.Wait, sys.Client(2, key.Key), submitted.ID, statemachine.JobDone)
	var answer standin.TaskAnswer
	require.NoError(t, json.Unmarshal(done.Answer, &answer))
	require.Equal(t, standin.Digest([]byte(body)), answer.Digest)
	require.Equal(t, 1, sys.ExecutionRecord().Starts[submitted.ID])
	require.Equal(t, 1, sys.ExecutionRecord().Starts[long.ID])
}

func awaitJob(t *testing.T, wait func(string, func() bool), client *api.Client, id string, state statemachine.JobState) api.Job {
	t.Helper()
	var job api.Job
	wait("job "+id+" to be "+string(state), func() bool {
		var err error
		job, err = client.GetJob(context.Background(), id)
		return err == nil && job.State == state
	})
	return job
}
