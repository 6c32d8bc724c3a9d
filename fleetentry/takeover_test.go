package fleetentry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// TestTakeover_UnreadSubmissionStartsTasksAgain crashes all entries while tasks run. The
// next leader reads the ledger at once and the entries' streams only later: the tasks
// have succeeded by then, or run on.
func TestTakeover_UnreadSubmissionStartsTasksAgain(t *testing.T) {
	for name, runTime := range map[string]time.Duration{"succeeded": 700 * time.Millisecond, "running": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 1)
			p.fleet.DefineTasks(name, runTime, 1000, false, false)
			p.leader()
			const tasks = 3
			path := p.submit("desk", emulator.JobBody(name, emulator.Step{Count: tasks, MilliCPU: 1000, EstimateMillis: int(runTime.Milliseconds())}))
			id := jobIDOf(path)
			require.Eventually(t, func() bool { return p.fleet.Running(id) == tasks }, 5*time.Second, 10*time.Millisecond)
			p.crashAll()
			// Another entry claims leadership within half of this time.
			p.rejectReads("keyed.jobs", 3*time.Second)
			p.startEntry()
			p.awaitState(path, "completed")
			for i := range tasks {
				require.Equal(t, 1, p.fleet.Starts(fmt.Sprintf("%s.0.0.%d", id, i)), "task %d", i)
			}
			require.Empty(t, p.fleet.Violations())
		})
	}
}

// TestTakeover_UnreadableStreamWithoutAssignedJobs lets an entry take over while a stream
// that holds no job with assignments cannot be read.
func TestTakeover_UnreadableStreamWithoutAssignedJobs(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1)
	p.leader()
	p.crashAll()
	p.rejectReads("keyed.jobs-3", time.Minute)
	p.startEntry()
	p.leader()
	p.awaitState(p.submit("desk", twoSteps("short")), "completed")
}

// TestTakeover_SilentStreamDelaysUnrelatedJobs lets a stream without assigned jobs leave
// reads unanswered: the next leader must not wait for it.
func TestTakeover_SilentStreamDelaysUnrelatedJobs(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	previous := p.leader()
	path := p.submit("desk", longRunningJob(2, 0))
	require.Eventually(t, func() bool { return p.fleet.Running(jobIDOf(path)) == 2 }, 5*time.Second, 10*time.Millisecond)
	p.store.SetFault(func(r *http.Request) emulator.StoreFault {
		if r.Method == http.MethodGet && r.URL.Query().Get("topic") == "keyed.jobs-3" {
			return emulator.StoreHangs
		}
		return emulator.StoreOK
	})
	crash(previous)
	next := p.leader().leader.Load()
	require.Less(t, time.Since(next.startedAt), readTimeout/2)
}

// rejectReads makes reads of the topics with the prefix fail for the duration.
func (p *testPlatform) rejectReads(prefix string, duration time.Duration) {
	until := time.Now().Add(duration)
	p.store.SetFault(func(r *http.Request) emulator.StoreFault {
		if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Query().Get("topic"), prefix) && time.Now().Before(until) {
			return emulator.StoreUnavailable
		}
		return emulator.StoreOK
	})
}
