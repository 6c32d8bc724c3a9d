package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	jobCount   = 12
	jobTimeout = 15 * time.Second
)

// runJobs submits jobs through one entry and waits through another until they are
// done.
func (s *system) runJobs(ctx context.Context, key api.KeyGranted, queue string, report *Report) {
	var accepted []string
	for i := range jobCount {
		id, err := uuid.NewV7()
		if err != nil {
			continue
		}
		body := fmt.Appendf(nil, `{"batch":%d,"work_ms":400}`, i)
		job, err := s.clientFor(i%entryCount, key.Key).SubmitJob(ctx, queue, body, id.String())
		if err == nil {
			accepted = append(accepted, job.ID)
		}
	}
	done := 0
	for i, id := range accepted {
		client := s.clientFor((i+1)%entryCount, key.Key)
		err := waitUntil(ctx, jobTimeout, "a job to finish", func() bool {
			job, err := client.GetJob(ctx, id)
			return err == nil && job.State == statemachine.JobDone
		})
		if err == nil {
			done++
		}
	}
	report.Jobs = done
	report.check("every accepted job was done", done == jobCount, "%d of %d", done, jobCount)
}
