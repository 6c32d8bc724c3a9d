package main

import (
	"context"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestWave_LongJobs maintains a pool on which a job runs that is longer than
// the drains' deadline. The association's job may run again: it moves on with a
// checkpoint and each VM is maintained. The Trust's may not: its VM is given up
// and the job goes on.
func TestWave_LongJobs(t *testing.T) {
	for _, c := range []struct {
		user, queue string
		moves       bool
	}{
		{"apitt", "accounts", true},
		{"pakhtun", "payouts", false},
	} {
		t.Run(c.user, func(t *testing.T) {
			sys, catalog := startUser(t, c.user, 3)
			ctx := context.Background()
			template := catalog.Template
			template.Pools = template.Pools[:1]
			_, err := sys.OperatorClient(0).SetTemplate(ctx, template, 1)
			require.NoError(t, err)
			key := sys.GrantKey(catalog.Workspaces[0].Name)
			job, err := sys.Client(0, key.Key).SubmitJob(ctx, catalog.Workspaces[0].Name+"."+c.queue, []byte(`{"work_ms":600000}`), uuid.Must(uuid.NewV7()).String())
			require.NoError(t, err)
			sys.Wait("the job to run", func() bool { return sys.ExecutionRecord().Starts[job.ID] == 1 })

			_, err = sys.OperatorClient(0).StartWave(ctx, api.WaveRequest{ID: "long", Pools: template.Pools, DeadlineMS: 5000, MaxParallel: 16})
			require.NoError(t, err)
			waitWave(t, "the end of the wave", func() bool { return waveOf(sys, 0, "long").State == statemachine.WaveDone })
			progress := waveOf(sys, 0, "long").Progress
			awaitJob(t, sys.Wait, sys.Client(0, key.Key), job.ID, statemachine.JobRunning)
			record := sys.ExecutionRecord()
			t.Logf("%d VMs maintained, %d given up, %d starts of the job", progress.Done, progress.Skipped, record.Starts[job.ID])
			require.Zero(t, record.InterruptedTasks)
			if c.moves {
				require.Zero(t, progress.Skipped)
				require.Greater(t, record.Starts[job.ID], 1)
				return
			}
			require.Equal(t, 1, progress.Skipped)
			require.Equal(t, 1, record.Starts[job.ID])
		})
	}
}
