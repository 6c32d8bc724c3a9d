package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const (
	// headroomSlots is the number of slots of the four pools that take work.
	headroomSlots = 84
	// headroomRate is the requests a second that the slots can run.
	headroomRate = 840
	// longWork is the body of a job that outlasts the benchmark.
	longWork = `{"work_ms":600000}`
	// shortWork is the body of a job that would end within it.
	shortWork = `{"work_ms":500}`
	shortJobs = 24
	// sampleAt is when the long jobs that run are counted.
	sampleAt = 15 * time.Second
)

// BenchmarkHeadroom fills every slot with long jobs and then drives urgent work
// for 20 s. Idempotent jobs give way; jobs that run at most once cannot, and
// show what the same load is without headroom. It counts the short jobs
// that end during the load, and the long ones that run late in it.
func BenchmarkHeadroom(b *testing.B) {
	for _, gives := range []bool{false, true} {
		for _, factor := range []float64{0.8, 1.5} {
			b.Run(fmt.Sprintf("gives_way=%t/factor=%g", gives, factor), func(b *testing.B) {
				for range b.N {
					runHeadroom(b, gives, factor)
				}
			})
		}
	}
}

func runHeadroom(b *testing.B, gives bool, factor float64) {
	s, err := examples.Standin("apitt")
	require.NoError(b, err)
	s.Slots = 2
	catalog, err := examples.Catalog("apitt")
	require.NoError(b, err)
	for i := range catalog.Workspaces {
		catalog.Workspaces[i].Limit = 80
	}
	catalog.Template.Queues = append(catalog.Template.Queues, statemachine.Queue{Name: "payouts", Class: statemachine.ClassJob, TimeoutMS: 3_600_000})
	sys := testbed.New(b, s, 4)
	sys.ApplyCatalog(catalog)
	sys.WaitCapacity(50, catalog.Workspaces[0].Team, 80)
	var keys []string
	for _, workspace := range catalog.Workspaces {
		keys = append(keys, sys.GrantKey(workspace.Name).Key)
	}
	submit := func(i int, queue, body string) string {
		team, key := i%len(keys), ""
		if queue == "payouts" {
			key = uuid.Must(uuid.NewV7()).String()
		}
		job, err := sys.Client(i%4, keys[team]).SubmitJob(context.Background(), catalog.Workspaces[team].Name+"."+queue, []byte(body), key)
		require.NoError(b, err)
		return job.ID
	}
	queue := map[bool]string{true: "accounts", false: "payouts"}[gives]
	long := make([]string, headroomSlots)
	for i := range long {
		long[i] = submit(i, queue, longWork)
	}
	sys.Wait("the jobs to fill the slots", func() bool { return len(sys.ExecutionRecord().Starts) >= headroomSlots })
	short := make(chan int)
	stop := make(chan struct{})
	go func() { short <- countShort(sys, keys, submit, stop) }()
	running := make(chan int)
	go func() {
		time.Sleep(sampleAt)
		running <- inState(sys, keys, long, statemachine.JobRunning)
	}()
	r := runLoad(b, sys, catalogFile(b, catalog), "-rate", fmt.Sprint(factor*headroomRate), "-duration", "20s", "-work", "100ms", "-max", "200000", "-steady=true")
	close(stop)
	sent, inTime := 0, 0
	for _, t := range r.Teams {
		sent, inTime = sent+t.Sent, inTime+t.Answered
	}
	b.ReportMetric(100*float64(inTime)/float64(sent), "in-time-%")
	b.ReportMetric(r.Goodput, "goodput/s")
	b.ReportMetric(float64(<-short), "short-jobs-done")
	b.ReportMetric(float64(<-running), "long-jobs-running")
}

// countShort submits short jobs and returns how many are done at the stop.
func countShort(sys *testbed.System, keys []string, submit func(int, string, string) string, stop <-chan struct{}) int {
	ids := make([]string, shortJobs)
	var wg sync.WaitGroup
	for i := range ids {
		wg.Go(func() { ids[i] = submit(i, "accounts", shortWork) })
	}
	wg.Wait()
	<-stop
	return inState(sys, keys, ids, statemachine.JobDone)
}

// inState counts the jobs that are in the state.
func inState(sys *testbed.System, keys, ids []string, state statemachine.JobState) int {
	count := 0
	for i, id := range ids {
		job, err := sys.Client(0, keys[i%len(keys)]).GetJob(context.Background(), id)
		if err == nil && job.State == state {
			count++
		}
	}
	return count
}

func catalogFile(b *testing.B, catalog settings.Catalog) string {
	file := filepath.Join(b.TempDir(), "catalog.json")
	raw, err := json.Marshal(catalog)
	require.NoError(b, err)
	require.NoError(b, os.WriteFile(file, raw, 0o600))
	return file
}
