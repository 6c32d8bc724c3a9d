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

// every returns a function that is true for one call in n.
func every(n int64) func() bool {
	var calls atomic.Int64
	return func() bool { return calls.Add(1)%n == 0 }
}

// TestFaults_WorkEndsOnce hands jobs in while something fails, and checks that
// every accepted job is completed and that no worker saw a promise break.
func TestFaults_WorkEndsOnce(t *testing.T) {
	cases := []struct {
		name  string
		fault func(w *world)
		spec  string
	}{
		{name: "nothing", fault: func(*world) {}},
		{name: "the owner crashes", spec: "long", fault: func(w *world) { crash(w.owner()) }},
		{name: "the owner stops", spec: "long", fault: func(w *world) {
			require.NoError(w.t, w.owner().Stop(w.t.Context()))
		}},
		{name: "the owner's appends are refused", spec: "long", fault: func(w *world) {
			until := time.Now().Add(1500 * time.Millisecond)
			w.store.SetFault(func(r *http.Request) emulator.StoreFault {
				if r.URL.Query().Get(emulator.LeaderAppend) != "" && time.Now().Before(until) {
					return emulator.StoreUnavailable
				}
				return emulator.StoreOK
			})
		}},
		{name: "the store loses replies", fault: func(w *world) {
			lose := every(4)
			w.store.SetFault(func(r *http.Request) emulator.StoreFault {
				if r.URL.Path == emulator.AppendPath && lose() {
					return emulator.StoreDropsReply
				}
				return emulator.StoreOK
			})
		}},
		{name: "the store is away for all", spec: "long", fault: func(w *world) {
			until := time.Now().Add(1500 * time.Millisecond)
			w.store.SetFault(func(*http.Request) emulator.StoreFault {
				if time.Now().Before(until) {
					return emulator.StoreUnavailable
				}
				return emulator.StoreOK
			})
		}},
		{name: "the store forgets its history", fault: func(w *world) { w.store.TrimHistory() }},
		{name: "workers lose the replies to starts", fault: func(w *world) {
			w.onWorkers(emulator.StartPath, 3, emulator.WorkerDropsReply)
		}},
		{name: "workers carry starts out late", fault: func(w *world) {
			w.onWorkers(emulator.StartPath, 3, emulator.WorkerDelayed)
		}},
		{name: "workers refuse starts", fault: func(w *world) {
			w.onWorkers(emulator.StartPath, 2, emulator.WorkerRejects)
		}},
		{name: "a worker is cut off and runs on", spec: "long", fault: func(w *world) {
			w.fleet.Disconnect("vm-a0")
			time.AfterFunc(6*time.Second, func() { w.fleet.Reconnect("vm-a0") })
		}},
		{name: "the owner crashes and a worker is cut off", spec: "long", fault: func(w *world) {
			w.fleet.Disconnect("vm-a0")
			crash(w.owner())
			time.AfterFunc(8*time.Second, func() { w.fleet.Reconnect("vm-a0") })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3)
			w.owner()
			spec := c.spec
			if spec == "" {
				spec = "short"
			}
			var paths []string
			for i := range 10 {
				if i == 5 {
					time.Sleep(150 * time.Millisecond)
					c.fault(w)
				}
				paths = append(paths, w.submit("desk", twoSteps(spec)))
			}
			for _, path := range paths {
				w.awaitState(path, "completed")
			}
			require.Empty(t, w.fleet.Violations())
		})
	}
}

// onWorkers makes one call in n of the path fail at every worker.
func (w *world) onWorkers(path string, n int64, fault emulator.WorkerFault) {
	for _, vm := range []string{"vm-a0", "vm-a1", "vm-a2"} {
		fails := every(n)
		w.fleet.Worker(vm).SetFault(func(called string) emulator.WorkerFault {
			if called == path && fails() {
				return fault
			}
			return emulator.WorkerOK
		})
	}
}

func TestCallers_Answers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	w.owner()
	id := "/desk/00000000000000aa"
	cases := []struct {
		name, method, path, key, body string
		status                        int
	}{
		{"no queue", http.MethodPost, "/nothing/00000000000000aa", testKey, twoSteps("short"), 404},
		{"no key", http.MethodPost, id, "", twoSteps("short"), 401},
		{"an unknown key", http.MethodPost, id, "other", twoSteps("short"), 401},
		{"a strange ID", http.MethodPost, "/desk/zz", testKey, twoSteps("short"), 400},
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
		status, body := w.call(c.method, c.path, c.key, c.body)
		require.Equal(t, c.status, status, "%s: %v", c.name, body)
	}
	require.Zero(t, w.fleet.Running("00000000000000aa"))
}

func TestCancel_StopsWhatRuns(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	w.owner()
	path := w.submit("desk", lastingJob(3, 0))
	require.Eventually(t, func() bool { return w.fleet.Running(idOf(path)) == 3 }, 5*time.Second, 20*time.Millisecond)
	status, _ := w.call(http.MethodDelete, path, testKey, "")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return w.fleet.Running(idOf(path)) == 0 }, 3*time.Second, 20*time.Millisecond)
	w.awaitState(path, "cancelled")
	require.Empty(t, w.fleet.Violations())
}

func TestSubmit_CopyIsOneJob(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3)
	w.owner()
	path := w.submit("desk", twoSteps("short"))
	for range 6 {
		status, _ := w.call(http.MethodPost, path, testKey, twoSteps("short"))
		require.Equal(t, http.StatusOK, status)
	}
	w.awaitState(path, "completed")
	require.Equal(t, 1, w.fleet.Starts(idOf(path)+".0.0.0"))
}

func TestJob_FailsAfterItsAttempts(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	w.owner()
	path := w.submit("desk", emulator.JobBody("broken", emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 30}))
	w.awaitState(path, "failed")
	require.Equal(t, 3, w.fleet.Starts(idOf(path)+".0.0.0"))
}

// TestCap_HoldsWhenFull hands in more than the team may run at once.
func TestCap_HoldsWhenFull(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	w.owner()
	path := w.submit("desk", lastingJob(20, 0))
	require.Eventually(t, func() bool { return w.fleet.Running(idOf(path)) == 12 }, 5*time.Second, 20*time.Millisecond)
	require.Never(t, func() bool { return w.fleet.Running(idOf(path)) > 12 }, time.Second, 50*time.Millisecond)
}

// TestWave_KeepsBudget maintains every VM of a pool under a lasting step that may
// miss one task at a time.
func TestWave_KeepsBudget(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	w.owner()
	path := w.submit("desk", lastingJob(4, 1))
	id := idOf(path)
	require.Eventually(t, func() bool { return w.fleet.Running(id) == 4 }, 5*time.Second, 20*time.Millisecond)
	w.store.PublishWave(7, []string{"vm-a0", "vm-a1", "vm-a2", "vm-s0"}, 20, 2)
	fewest := 4
	require.Eventually(t, func() bool {
		fewest = min(fewest, w.fleet.Running(id))
		return w.store.WaveCompleted(7)
	}, 25*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, fewest, 3, "more tasks were away than may be missing")
	for _, vm := range []string{"vm-a0", "vm-a1", "vm-a2", "vm-s0"} {
		require.True(t, w.fleet.MaintenanceStarted(vm, 7), vm)
	}
	require.Eventually(t, func() bool { return w.fleet.Running(id) == 4 }, 5*time.Second, 20*time.Millisecond)
	require.Empty(t, w.fleet.Violations())
}

// TestRecovery_AllEntriesCrash loses all entries with work under way.
// TestRecovery_AllEntriesCrash crashes all entries while the first steps of jobs run,
// and once those have ended and their ends are recorded: work that is done is not
// started again.
func TestRecovery_AllEntriesCrash(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
	}{
		{name: "first steps run", after: 300 * time.Millisecond},
		{name: "first steps have ended", after: 1100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3)
			w.owner()
			var paths []string
			for range 6 {
				paths = append(paths, w.submit("books", twoSteps("long")))
			}
			time.Sleep(c.after)
			w.mu.Lock()
			old := w.entries
			w.entries, w.at = nil, nil
			w.mu.Unlock()
			for _, d := range old {
				crash(d)
			}
			w.startEntry()
			w.startEntry()
			for _, path := range paths {
				w.awaitState(path, "completed")
			}
			require.Empty(t, w.fleet.Violations())
		})
	}
}
