package soak

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
	"github.com/anvilcourse/anvilcourse/freeport"
	"github.com/anvilcourse/anvilcourse/settings"
)

var (
	seeds     = flag.Int("soak.seeds", 1, "how many seeds to play")
	firstSeed = flag.Uint64("soak.first", 1, "the first `seed`")
	length    = flag.Duration("soak.length", 5*time.Second, "how long faults go on")
)

// regressions are seeds that failed once, each with its cause. None so far.
var regressions = []uint64{}

const (
	host        = "calls.example"
	key         = "key-of-team"
	entryCount  = 3
	settleWithn = 40 * time.Second
)

// world is one run: the platform in this process, the entries as processes.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	binary  string
	store   *emulator.Store
	fleet   *emulator.Fleet
	entries []*entry
}

type entry struct {
	proxy   *Proxy
	path    string
	callers string
	process *exec.Cmd
	log     *os.File
}

func address(t *testing.T) string {
	addresses, err := freeport.Addresses(1)
	require.NoError(t, err)
	return addresses[0]
}

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "anvilcourse")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/anvilcourse").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

func newWorld(t *testing.T, binary string, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, seed)), binary: binary, store: emulator.NewStore()}
	w.fleet = emulator.NewFleet(w.store)
	storeServer, vmServer := httptest.NewServer(w.store), httptest.NewServer(w.fleet)
	t.Cleanup(storeServer.CloseClientConnections)
	t.Cleanup(vmServer.CloseClientConnections)
	t.Cleanup(w.fleet.Close)
	for i := range 4 {
		require.NoError(t, w.fleet.AddVM(fmt.Sprintf("vm-%d", i), "desk", "z1", fmt.Sprintf("r%d", i), 6000))
	}
	w.fleet.DefineTasks("short", 80*time.Millisecond, 1000, false, false)
	w.fleet.DefineTasks("long", 900*time.Millisecond, 1000, false, false)
	w.store.PublishManifest(emulator.Manifest(3, []emulator.Queue{{Name: "q", Host: host, Prefix: "/desk/", Pool: "desk"}},
		map[string]bool{"desk": false}, "team", key, 20_000))
	for i := range entryCount {
		w.addEntry(i, storeServer.Listener.Addr().String(), vmServer.Listener.Addr().String())
	}
	return w
}

func (w *world) addEntry(i int, store, vms string) {
	proxy, err := NewProxy(store)
	require.NoError(w.t, err)
	w.t.Cleanup(proxy.Close)
	s := settings.DefaultFleetEntry()
	s.Node, s.AvailabilityZone, s.Store, s.VMs = fmt.Sprintf("entry-%d", i), "z1", proxy.Address(), vms
	s.Callers, s.Readiness, s.StopGraceS, s.StopMS = address(w.t), address(w.t), 1, 100
	raw, err := json.Marshal(s)
	require.NoError(w.t, err)
	e := &entry{proxy: proxy, path: filepath.Join(w.t.TempDir(), "settings.json"), callers: s.Callers}
	require.NoError(w.t, os.WriteFile(e.path, raw, 0o600))
	e.log, err = os.Create(filepath.Join(w.t.TempDir(), "log"))
	require.NoError(w.t, err)
	w.entries = append(w.entries, e)
	w.start(e)
	w.t.Cleanup(func() { w.end(e, syscall.SIGKILL) })
}

func (w *world) start(e *entry) {
	e.process = exec.Command(w.binary, "fleet-entry", "-settings", e.path)
	e.process.Stdout, e.process.Stderr = e.log, e.log
	require.NoError(w.t, e.process.Start())
}

// end signals the process, if it runs, and waits for its end.
func (w *world) end(e *entry, sig syscall.Signal) {
	if e.process == nil {
		return
	}
	// A process that has ended by itself needs no signal.
	_ = e.process.Process.Signal(sig)
	_ = e.process.Process.Signal(syscall.SIGCONT)
	_ = e.process.Wait()
	e.process = nil
}

// fault injects one fault and returns what ends it.
func (w *world) fault() func() {
	e := w.entries[w.rng.IntN(len(w.entries))]
	vm := fmt.Sprintf("vm-%d", w.rng.IntN(4))
	switch w.rng.IntN(8) {
	case 0:
		w.end(e, syscall.SIGKILL)
		return func() { w.start(e) }
	case 1:
		w.end(e, syscall.SIGTERM)
		return func() { w.start(e) }
	case 2:
		_ = e.process.Process.Signal(syscall.SIGSTOP)
		return func() { _ = e.process.Process.Signal(syscall.SIGCONT) }
	case 3:
		for _, each := range w.entries {
			w.end(each, syscall.SIGKILL)
		}
		return func() {
			for _, each := range w.entries {
				w.start(each)
			}
		}
	case 4:
		w.fleet.Disconnect(vm)
		return func() { w.fleet.Reconnect(vm) }
	case 5:
		w.store.SetDelay(150 * time.Millisecond)
		return func() { w.store.SetDelay(0) }
	default:
		mode := []ProxyMode{ModeDelay, ModeReset, ModeBlackhole, ModeDropReplies}[w.rng.IntN(4)]
		e.proxy.SetMode(mode)
		return func() { e.proxy.SetMode(ModePass) }
	}
}

// call makes one call at the entry; 0 is no answer.
func (w *world) call(e *entry, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.callers+path, bytes.NewBufferString(body))
	require.NoError(w.t, err)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var out struct {
		State string `json:"state"`
	}
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return 0, ""
	}
	return resp.StatusCode, out.State
}

func (w *world) play() {
	var accepted, refused []string
	until := time.Now().Add(*length)
	for n := 0; time.Now().Before(until); n++ {
		heal := w.fault()
		for end := time.Now().Add(time.Duration(300+w.rng.IntN(1500)) * time.Millisecond); time.Now().Before(end); {
			path := fmt.Sprintf("/desk/%016x", w.rng.Uint64())
			spec := []string{"short", "long"}[w.rng.IntN(2)]
			e := w.entries[w.rng.IntN(len(w.entries))]
			status, _ := w.call(e, http.MethodPost, path, emulator.JobBody(spec, emulator.Step{Count: 2, MilliCPU: 1000, EstimateMillis: 100},
				emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 100, DependsOn: []int{0}}))
			switch status {
			case http.StatusOK:
				accepted = append(accepted, path)
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				refused = append(refused, path)
			}
			time.Sleep(40 * time.Millisecond)
		}
		heal()
	}
	for _, path := range accepted {
		w.await(path)
	}
	for _, path := range refused {
		require.Zero(w.t, w.fleet.Starts(path[len("/desk/"):]+".0.0.0"), "%s was refused as not run and has run", path)
	}
	require.Empty(w.t, w.fleet.Violations())
	w.t.Logf("%d jobs accepted and completed, %d refused", len(accepted), len(refused))
}

// await asks for the job at all entries until one says that it is completed.
func (w *world) await(path string) {
	last := ""
	require.Eventually(w.t, func() bool {
		for _, e := range w.entries {
			status, state := w.call(e, http.MethodGet, path, "")
			last = fmt.Sprint(status, " ", state)
			if state == "completed" {
				return true
			}
		}
		return false
	}, settleWithn, 50*time.Millisecond, "an accepted job is not completed: %s, last answer %s", path, &last)
}

// TestSoak plays seeds one after the other. By hand:
//
//	go test ./soak -soak.seeds 50 -soak.first 100 -soak.length 10s -timeout 60m
func TestSoak(t *testing.T) {
	binary := build(t)
	play := append([]uint64(nil), regressions...)
	for i := range *seeds {
		play = append(play, *firstSeed+uint64(i))
	}
	for _, seed := range play {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newWorld(t, binary, seed).play() })
	}
}
