package fleetentry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// TestRestart_WithdrawnKeyStaysWithdrawn restarts all entries after a key was
// withdrawn, with and without the store's history.
func TestRestart_WithdrawnKeyStaysWithdrawn(t *testing.T) {
	t.Parallel()
	for _, trimmed := range []bool{false, true} {
		p := newTestPlatform(t, 2)
		p.leader()
		path := p.submit("desk", twoSteps("short"))
		queues := []emulator.Queue{{Name: "q-desk", Host: testHost, Prefix: "/desk/", Pool: "desk"}}
		pools := map[string]bool{"desk": false, "books": false, "reserve": true}
		p.store.PublishManifest(emulator.Manifest(9, queues, pools, "team", "another-key", 12_000))
		refused := func() bool {
			status, _ := p.call(http.MethodGet, path, testKey, "")
			return status == http.StatusUnauthorized
		}
		require.Eventually(t, refused, 5*time.Second, 10*time.Millisecond)
		if trimmed {
			p.store.TrimHistory()
		}
		p.crashAll()
		p.startEntry()
		p.leader()
		require.Never(t, func() bool { return !refused() }, time.Second, 20*time.Millisecond, "a withdrawn key is in use again")
	}
}

// TestRestart_GoneWorkerStaysGone removes a VM and restarts all entries: the new leader
// starts nothing on its worker.
func TestRestart_GoneWorkerStaysGone(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	p.leader()
	gone := p.fleet.Worker("vm-a0")
	p.fleet.RemoveVM("vm-a0")
	p.crashAll()
	requests := make(chan string, 100)
	gone.SetFault(func(path string) emulator.WorkerFault {
		requests <- path
		return emulator.WorkerOK
	})
	p.startEntry()
	p.leader()
	for range 5 {
		p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	}
	require.Empty(t, requests, "a worker that had left is in use again")
	require.Empty(t, p.fleet.Violations())
}

// TestMalformed_EntriesServeOn writes malformed records to every stream and sends
// malformed calls: the entries and the leader go on.
func TestMalformed_EntriesServeOn(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	leader := p.leader()
	malformed := []any{"text", 5, []int{1}, map[string]any{"version": "x", "service": 7, "wave": "y", "machines": 3, "i": 9, "p": "q"}}
	keys := map[string][]string{
		"keyed.op":      {"config", "wave/x", "wave/7", ""},
		"keyed.servers": {"i-odd", ""},
		"keyed.jobs":    {"jodd", "codd", "x", ""},
		"keyed.ledger":  {"todd", "todd.0.0.0", "rodd", "o", "w7", "wx", ""},
		"keyed.claims":  {"claim"},
	}
	for topic, names := range keys {
		for _, key := range names {
			for _, value := range malformed {
				p.store.Put(topic, key, value)
			}
			p.store.PutRaw(topic, key, []byte{0xff, 0x00})
		}
	}
	for _, body := range []string{"", "{", "[]", "null", `{"phases":[{"count":-1}]}`, `{"phases":7}`, "\x00\xff"} {
		status, _ := p.call(http.MethodPost, "/desk/00000000000000ab", testKey, body)
		require.Equal(t, http.StatusBadRequest, status, "%q", body)
	}
	for range 3 {
		p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	}
	require.Same(t, leader, p.leader(), "the leader has changed")
	require.Empty(t, p.fleet.Violations())
}
