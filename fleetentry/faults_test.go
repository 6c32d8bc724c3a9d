package fleetentry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// oneIn returns a function that is true for one call in n.
func oneIn(n int64) func() bool {
	var calls atomic.Int64
	return func() bool { return calls.Add(1)%n == 0 }
}

// TestFaults_JobsCompleteSafely submits jobs during a fault, and checks that every
// accepted job completes and that no worker saw a guarantee violated.
func TestFaults_JobsCompleteSafely(t *testing.T) {
	cases := []struct {
		name  string
		fault func(p *testPlatform)
		spec  string
	}{
		{name: "no fault", fault: func(*testPlatform) {}},
		{name: "the leader crashes", spec: "long", fault: func(p *testPlatform) { crash(p.leader()) }},
		{name: "the leader stops", spec: "long", fault: func(p *testPlatform) {
			require.NoError(p.t, p.leader().Stop(p.t.Context()))
		}},
		{name: "the leader's appends are refused", spec: "long", fault: func(p *testPlatform) {
			until := time.Now().Add(1500 * time.Millisecond)
			p.store.SetFault(func(r *http.Request) emulator.StoreFault {
				if r.URL.Query().Get(emulator.LeaderAppend) != "" && time.Now().Before(until) {
					return emulator.StoreUnavailable
				}
				return emulator.StoreOK
			})
		}},
		{name: "the store loses replies", fault: func(p *testPlatform) {
			lose := oneIn(4)
			p.store.SetFault(func(r *http.Request) emulator.StoreFault {
				if r.URL.Path == emulator.AppendPath && lose() {
					return emulator.StoreDropsReply
				}
				return emulator.StoreOK
			})
		}},
		{name: "the store is unavailable", spec: "long", fault: func(p *testPlatform) {
			until := time.Now().Add(1500 * time.Millisecond)
			p.store.SetFault(func(*http.Request) emulator.StoreFault {
				if time.Now().Before(until) {
					return emulator.StoreUnavailable
				}
				return emulator.StoreOK
			})
		}},
		{name: "the store trims its history", fault: func(p *testPlatform) { p.store.TrimHistory() }},
		{name: "workers lose the replies to starts", fault: func(p *testPlatform) {
			p.failOnWorkers(emulator.StartPath, 3, emulator.WorkerDropsReply)
		}},
		{name: "workers execute starts late", fault: func(p *testPlatform) {
			p.failOnWorkers(emulator.StartPath, 3, emulator.WorkerDelayed)
		}},
		{name: "workers refuse starts", fault: func(p *testPlatform) {
			p.failOnWorkers(emulator.StartPath, 2, emulator.WorkerRejects)
		}},
		{name: "a partitioned worker keeps running", spec: "long", fault: func(p *testPlatform) {
			p.fleet.Disconnect("vm-a0")
			time.AfterFunc(6*time.Second, func() { p.fleet.Reconnect("vm-a0") })
		}},
		{name: "the leader crashes and a worker is partitioned", spec: "long", fault: func(p *testPlatform) {
			p.fleet.Disconnect("vm-a0")
			crash(p.leader())
			time.AfterFunc(8*time.Second, func() { p.fleet.Reconnect("vm-a0") })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 3)
			p.leader()
			spec := c.spec
			if spec == "" {
				spec = "short"
			}
			var paths []string
			for i := range 10 {
				if i == 5 {
					time.Sleep(150 * time.Millisecond)
					c.fault(p)
				}
				paths = append(paths, p.submit("desk", twoSteps(spec)))
			}
			for _, path := range paths {
				p.awaitState(path, "completed")
			}
			require.Empty(t, p.fleet.Violations())
		})
	}
}

// failOnWorkers makes one call in n of the path fail at every worker.
func (p *testPlatform) failOnWorkers(path string, n int64, fault emulator.WorkerFault) {
	for _, vm := range []string{"vm-a0", "vm-a1", "vm-a2"} {
		fails := oneIn(n)
		p.fleet.Worker(vm).SetFault(func(called string) emulator.WorkerFault {
			if called == path && fails() {
				return fault
			}
			return emulator.WorkerOK
		})
	}
}

func TestJobService_StatusCodes(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	p.leader()
	id := "/desk/00000000000000aa"
	cases := []struct {
		name, method, path, key, body string
		status                        int
	}{
		{"no queue", http.MethodPost, "/nothing/00000000000000aa", testKey, twoSteps("short"), 404},
		{"no key", http.MethodPost, id, "", twoSteps("short"), 401},
		{"an unknown key", http.MethodPost, id, "other", twoSteps("short"), 401},
		{"an invalid ID", http.MethodPost, "/desk/zz", testKey, twoSteps("short"), 400},
		{"not JSON", http.MethodPost, id, testKey, "{", 400},
		{"no steps", http.MethodPost, id, testKey, emulator.JobBody("x"), 400},
		{"a step that depends on itself", http.MethodPost, id, testKey, emulator.JobBody("x", emulator.Step{Count: 1, DependsOn: []int{0}}), 400},
		{"a step of no tasks", http.MethodPost, id, testKey, emulator.JobBody("x", emulator.Step{}), 400},
		{"a negative need", http.MethodPost, id, testKey, emulator.JobBody("x", emulator.Step{Count: 1, MilliCPU: -5}), 400},
		{"too large", http.MethodPost, id, testKey, emulator.JobBody(strings.Repeat("x", 300_000), emulator.Step{Count: 1}), 413},
		{"a spec that is too long", http.MethodPost, id, testKey, emulator.JobBody(strings.Repeat("x", 5000), emulator.Step{Count: 1}), 400},
		{"a job that does not exist", http.MethodGet, id, testKey, "", 410},
		{"another method", http.MethodPut, id, testKey, "", 400},
	}
	for _, c := range cases {
		status, body := p.call(c.method, c.path, c.key, c.body)
		require.Equal(t, c.status, status, "%s: %v", c.name, body)
	}
	require.Zero(t, p.fleet.Running("00000000000000aa"))
}

func TestCancel_StopsRunningTasks(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	p.leader()
	path := p.submit("desk", longRunningJob(3, 0))
	require.Eventually(t, func() bool { return p.fleet.Running(jobIDOf(path)) == 3 }, 5*time.Second, 20*time.Millisecond)
	status, _ := p.call(http.MethodDelete, path, testKey, "")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return p.fleet.Running(jobIDOf(path)) == 0 }, 3*time.Second, 20*time.Millisecond)
	p.awaitState(path, "cancelled")
	require.Empty(t, p.fleet.Violations())
}

func TestSubmit_DuplicateIsOneJob(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 3)
	p.leader()
	path := p.submit("desk", twoSteps("short"))
	for range 6 {
		status, _ := p.call(http.MethodPost, path, testKey, twoSteps("short"))
		require.Equal(t, http.StatusOK, status)
	}
	p.awaitState(path, "completed")
	require.Equal(t, 1, p.fleet.Starts(jobIDOf(path)+".0.0.0"))
}

func TestJob_FailsAfterMaxAttempts(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	p.leader()
	path := p.submit("desk", emulator.JobBody("broken", emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 30}))
	p.awaitState(path, "failed")
	require.Equal(t, 3, p.fleet.Starts(jobIDOf(path)+".0.0.0"))
}

// TestTeamLimit_HoldsUnderLoad submits more than the team may run at once.
func TestTeamLimit_HoldsUnderLoad(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	p.leader()
	path := p.submit("desk", longRunningJob(20, 0))
	require.Eventually(t, func() bool { return p.fleet.Running(jobIDOf(path)) == 12 }, 5*time.Second, 20*time.Millisecond)
	require.Never(t, func() bool { return p.fleet.Running(jobIDOf(path)) > 12 }, time.Second, 50*time.Millisecond)
}

// TestWave_RespectsDisruptionBudget maintains every VM of a pool under a long-running
// step that may miss one task at a time.
func TestWave_RespectsDisruptionBudget(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	p.leader()
	path := p.submit("desk", longRunningJob(4, 1))
	id := jobIDOf(path)
	require.Eventually(t, func() bool { return p.fleet.Running(id) == 4 }, 5*time.Second, 20*time.Millisecond)
	p.store.PublishWave(7, []string{"vm-a0", "vm-a1", "vm-a2", "vm-s0"}, 20, 2)
	minRunning := 4
	require.Eventually(t, func() bool {
		minRunning = min(minRunning, p.fleet.Running(id))
		return p.store.WaveCompleted(7)
	}, 25*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, minRunning, 3, "more tasks were unavailable than allowed")
	for _, vm := range []string{"vm-a0", "vm-a1", "vm-a2", "vm-s0"} {
		require.True(t, p.fleet.MaintenanceStarted(vm, 7), vm)
	}
	require.Eventually(t, func() bool { return p.fleet.Running(id) == 4 }, 5*time.Second, 20*time.Millisecond)
	require.Empty(t, p.fleet.Violations())
}

// TestRecovery_AllEntriesCrash crashes all entries while the first steps of jobs run,
// and once these have finished and their outcomes are recorded: finished tasks are
// not started again.
func TestRecovery_AllEntriesCrash(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
	}{
		{name: "first steps running", after: 300 * time.Millisecond},
		{name: "first steps finished", after: 1100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 3)
			p.leader()
			var paths []string
			for range 6 {
				paths = append(paths, p.submit("books", twoSteps("long")))
			}
			time.Sleep(c.after)
			p.crashAll()
			p.startEntry()
			p.startEntry()
			for _, path := range paths {
				p.awaitState(path, "completed")
			}
			require.Empty(t, p.fleet.Violations())
		})
	}
}
