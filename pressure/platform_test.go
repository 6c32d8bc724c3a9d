package pressure

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
	"github.com/anvilcourse/anvilcourse/freeport"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const (
	teamKey = "key-of-team"
	host    = "calls.example"
	// manifestBody is the body limit of the emulated manifest.
	manifestBody = 262_144
	// platformMB and platformDescriptors are the lowered limits of the entry's VM.
	platformMB          = 96
	platformDescriptors = 500
)

// startPlatform starts the emulated platform and one entry of a small VM, and waits
// until the entry serves.
func startPlatform(t *testing.T) entryUnderTest { return startPlatformWith(t, 0) }

// startPlatformWith lets the entry have that many connections of clients; 0 for what it
// derives.
func startPlatformWith(t *testing.T, connections int) entryUnderTest {
	store := emulator.NewStore()
	fleet := emulator.NewFleet(store)
	t.Cleanup(fleet.Close)
	storeServer, vmServer := httptest.NewServer(store), httptest.NewServer(fleet)
	t.Cleanup(storeServer.CloseClientConnections)
	t.Cleanup(vmServer.CloseClientConnections)
	require.NoError(t, fleet.AddVM("vm-0", "desk", "z1", "r0", 6000))
	fleet.DefineTasks("short", 10*time.Millisecond, 1000, false, false)
	store.PublishManifest(emulator.Manifest(1, []emulator.Queue{{Name: "q", Host: host, Prefix: "/desk/", Pool: "desk"}},
		map[string]bool{"desk": false}, "team", teamKey, 20_000))
	addresses, err := freeport.Addresses(2)
	require.NoError(t, err)
	s := settings.DefaultFleetEntry()
	s.Node, s.AvailabilityZone, s.Store, s.VMs = "entry-0", "z1", storeServer.Listener.Addr().String(), vmServer.Listener.Addr().String()
	s.Callers, s.Readiness, s.StopGraceS = addresses[0], addresses[1], 1
	s.MemoryMB, s.MaxDescriptors, s.MaxClientConnections = platformMB, platformDescriptors, connections
	raw, err := json.Marshal(s)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	process := testbed.Start(t, "fleet-entry", "-settings", path)
	authorization := "Host: " + host + "\r\nAuthorization: Bearer " + teamKey + "\r\n"
	e := entryUnderTest{
		pid: process.PID(), address: s.Callers, maxBody: manifestBody, maxMB: platformMB, maxDescriptors: platformDescriptors,
		head:         "POST /desk/00000000000000aa HTTP/1.1\r\n" + authorization,
		stateRequest: "GET /desk/ HTTP/1.1\r\n" + authorization + "\r\n",
		content:      emulator.JobBody("short", emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 10}),
	}
	e.request = func(body string) bool {
		return post("http://"+s.Callers+fmt.Sprintf("/desk/%016x", rand.Uint64()), host, teamKey, body) == http.StatusOK
	}
	require.Eventually(t, func() bool { return e.request(e.content) }, 30*time.Second, 50*time.Millisecond)
	return e
}

// post sends one request on a connection of its own; status 0 means no response.
func post(url, host, key, body string) int {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host, req.Close = host, true
	req.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestPlatform_AnnouncedShortOfTheEnd(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 400, announcedShort(e.content, e.maxBody))
}

func TestPlatform_PiecesShortOfTheEnd(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 400, piecesShort(e.content, e.maxBody))
}

func TestPlatform_LargeChunksShortOfTheEnd(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 400, chunkedShort(e.content, e.maxBody, 32<<10))
}

func TestPlatform_TinyChunksShortOfTheEnd(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 400, tinyChunksShort(e.content, e.maxBody, 8))
}

func TestPlatform_FarOverAnnounced(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 200, overAnnounced(900<<10))
}

func TestPlatform_FarOverSent(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 200, overSent(960<<10))
}

func TestPlatform_WholeAtTheLimit(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 400, whole(e.content, e.maxBody))
}

// TestPlatform_WholeOfManySteps sends bodies whose decoded form would be many times
// their size.
func TestPlatform_WholeOfManySteps(t *testing.T) {
	e := startPlatform(t)
	steps := strings.Repeat("{},", (e.maxBody-100)/3)
	e.check(t, 400, whole(`{"spec":"short","phases":[`+steps+`{}]}`, e.maxBody))
}

func TestPlatform_HeadersWithoutEnd(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 600, headersWithoutEnd(200<<10))
}

func TestPlatform_IdleConnections(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 700, idle)
}

func TestPlatform_SlowReaders(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 600, slowReader(e.stateRequest, 500))
}

func TestPlatform_ManyRequestsOnOneConnection(t *testing.T) {
	e := startPlatform(t)
	e.check(t, 2, reader("GET /nowhere/ HTTP/1.1\r\nHost: "+host+"\r\n\r\n", 10_000))
}

// TestPlatform_OneAtTheLimitInCalm sends one body of exactly the limit, announced.
func TestPlatform_OneAtTheLimitInCalm(t *testing.T) {
	e := startPlatform(t)
	require.True(t, e.request(body(e.content, e.maxBody)))
	require.Equal(t, http.StatusRequestEntityTooLarge,
		post("http://"+e.address+"/desk/00000000000000bb", host, teamKey, body(e.content, e.maxBody+1)))
}
