package fleetentry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
	"github.com/anvilcourse/anvilcourse/freeport"
	"github.com/anvilcourse/anvilcourse/platform"
	"github.com/anvilcourse/anvilcourse/settings"
)

// world is a small platform with some entries on it.
type world struct {
	t       *testing.T
	store   *emulator.Store
	fleet   *emulator.Fleet
	storeAt string
	vmsAt   string
	mu      sync.Mutex
	entries []*Daemon
	at      []string
	jobs    int
}

const (
	testHost = "calls.example"
	testKey  = "key-of-team"
)

// newWorld starts the platform with two pools of three VMs and one spare VM.
func newWorld(t *testing.T, entries int) *world {
	w := &world{t: t, store: emulator.NewStore()}
	w.fleet = emulator.NewFleet(w.store)
	storeServer := httptest.NewServer(w.store)
	vmServer := httptest.NewServer(w.fleet)
	t.Cleanup(storeServer.Close)
	t.Cleanup(vmServer.Close)
	t.Cleanup(w.fleet.Close)
	w.storeAt, w.vmsAt = storeServer.Listener.Addr().String(), vmServer.Listener.Addr().String()
	for i := range 3 {
		require.NoError(t, w.fleet.AddVM(fmt.Sprintf("vm-a%d", i), "desk", "z1", fmt.Sprintf("r%d", i), 8000))
		require.NoError(t, w.fleet.AddVM(fmt.Sprintf("vm-b%d", i), "books", "z2", fmt.Sprintf("r%d", i), 8000))
	}
	require.NoError(t, w.fleet.AddVM("vm-s0", "reserve", "z1", "r9", 8000))
	w.fleet.DefineTasks("short", 60*time.Millisecond, 1000, false, false)
	w.fleet.DefineTasks("long", 700*time.Millisecond, 1000, false, false)
	w.fleet.DefineTasks("lasting", 0, 1000, true, false)
	w.fleet.DefineTasks("broken", 30*time.Millisecond, 1000, false, true)
	w.publish(4)
	for range entries {
		w.startEntry()
	}
	return w
}

// publish puts a manifest in force.
func (w *world) publish(version int) {
	queues := []emulator.Queue{{Name: "q-desk", Host: testHost, Prefix: "/desk/", Pool: "desk"}, {Name: "q-books", Host: testHost, Prefix: "/books/", Pool: "books"}}
	pools := map[string]bool{"desk": false, "books": false, "reserve": true}
	w.store.PublishManifest(emulator.Manifest(version, queues, pools, "team", testKey, 12_000))
}

func freeAddress(t *testing.T) string {
	addresses, err := freeport.Addresses(1)
	require.NoError(t, err)
	return addresses[0]
}

// startEntry starts one more entry.
func (w *world) startEntry() *Daemon {
	w.mu.Lock()
	n := len(w.entries)
	w.mu.Unlock()
	s := settings.DefaultFleetEntry()
	s.Node, s.AvailabilityZone = fmt.Sprintf("entry-%d", n), "z1"
	s.Callers, s.Readiness = freeAddress(w.t), freeAddress(w.t)
	s.Store, s.VMs, s.StopGraceS = w.storeAt, w.vmsAt, 1
	s.VMOrderLeaseMS, s.StopMS = 1000, 100
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: testLog})
	store := platform.NewStore(s.Store)
	metrics := NewMetrics()
	follower := NewFollower(store, log)
	operator := NewOperatorWatcher(store, platform.Decoder{}, log)
	appender := NewAppender(store, follower, s.Node)
	callers := NewJobService(follower, operator, appender, platform.Decoder{}, metrics, log)
	d := newDaemon(s, store, platform.NewWorkers(), platform.NewVMs(s.VMs, s.Node), platform.NewAdvice(s.Store),
		platform.Decoder{}, log, metrics, follower, operator, appender, callers, platform.NewClientHandler(callers))
	require.NoError(w.t, d.Start(w.t.Context()))
	w.mu.Lock()
	w.entries = append(w.entries, d)
	w.at = append(w.at, s.Callers)
	w.mu.Unlock()
	w.t.Cleanup(func() { crash(d) })
	return d
}

// crash ends the entry at once: nothing is handed over and nobody is answered.
func crash(d *Daemon) {
	d.stopping.Store(true)
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// owner waits until an entry owns the fleet and returns it.
func (w *world) owner() *Daemon {
	var found *Daemon
	require.Eventually(w.t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, d := range w.entries {
			if o := d.owner.Load(); o != nil && !d.stopping.Load() && o.owns.Load() {
				found = d
				return true
			}
		}
		return false
	}, 10*time.Second, 10*time.Millisecond, "no entry owns the fleet")
	return found
}

// call makes one call, at any entry that answers.
func (w *world) call(method, path, key, body string) (int, map[string]any) {
	w.mu.Lock()
	at := append([]string(nil), w.at...)
	w.jobs++
	turn := w.jobs
	w.mu.Unlock()
	client := &http.Client{Timeout: 3 * time.Second}
	for i := range at {
		req, err := http.NewRequest(method, "http://"+at[(i+turn)%len(at)]+path, bytes.NewBufferString(body))
		require.NoError(w.t, err)
		req.Host = testHost
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode >= 500 {
			continue
		}
		out := map[string]any{}
		if len(raw) > 0 {
			require.NoError(w.t, json.Unmarshal(raw, &out), string(raw))
		}
		return resp.StatusCode, out
	}
	return 0, nil
}

// submit hands a job in until it is accepted, and returns its path.
func (w *world) submit(queue, body string) string {
	w.mu.Lock()
	w.jobs++
	path := fmt.Sprintf("/%s/%016x", queue, w.jobs+4096)
	w.mu.Unlock()
	require.Eventually(w.t, func() bool {
		status, _ := w.call(http.MethodPost, path, testKey, body)
		return status == http.StatusOK
	}, 15*time.Second, 50*time.Millisecond, "the job is not accepted")
	return path
}

func idOf(path string) string { return path[len(path)-16:] }

// awaitState waits until callers are told the state.
func (w *world) awaitState(path, state string) {
	w.t.Helper()
	last := ""
	require.Eventually(w.t, func() bool {
		status, body := w.call(http.MethodGet, path, testKey, "")
		last = fmt.Sprint(status, body)
		return status == http.StatusOK && body["state"] == state
	}, 25*time.Second, 30*time.Millisecond, "%s is not %s; last: %s", path, state, &last)
}

// twoSteps is a job whose second step waits for the first.
func twoSteps(spec string) string {
	return emulator.JobBody(spec, emulator.Step{Count: 3, MilliCPU: 1000, EstimateMillis: 100}, emulator.Step{Count: 2, MilliCPU: 1000, EstimateMillis: 100, DependsOn: []int{0}})
}

// lastingJob is a job whose tasks run until it is cancelled.
func lastingJob(count, mayMiss int) string {
	return emulator.JobBody("lasting", emulator.Step{Count: count, MilliCPU: 1000, LongRunning: true, MaxUnavailable: mayMiss})
}

// testLog is where entries under test log to.
var testLog io.Writer = io.Discard

func init() {
	if path := os.Getenv("FLEETENTRY_TEST_LOG"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			panic(err)
		}
		testLog = f
	}
}
