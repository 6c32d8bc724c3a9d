package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/freeport"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// OperatorKey is the operators' key of every entry that a System starts.
	OperatorKey = "testbed-operator-key"
	// WaitTimeout bounds the wait for a condition.
	WaitTimeout = 15 * time.Second
	waitPoll    = 10 * time.Millisecond
)

// System is a stand-in and its entries, each a process of its own.
type System struct {
	t           testing.TB
	Standin     *Process
	PlatformURL string
	Entries     []*Entry
	HTTP        *http.Client
	// ModifySettings changes the settings of each entry before it starts, if set.
	ModifySettings func(*settings.Entry)
}

// Entry is one entry process.
type Entry struct {
	*Process
	Settings settings.Entry
}

// New starts a stand-in with the settings and the given number of entries,
// and waits until all entries are ready.
func New(t testing.TB, s settings.Standin, entries int) *System {
	t.Helper()
	return NewWithSettings(t, s, entries, nil)
}

// NewWithSettings is New with a change of the settings of each entry.
func NewWithSettings(t testing.TB, s settings.Standin, entries int, amend func(*settings.Entry)) *System {
	t.Helper()
	s.Listen = "127.0.0.1:0"
	path := writeFile(t, "standin.json", s)
	sys := &System{t: t, ModifySettings: amend, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
	sys.Standin = Start(t, "standin", "-settings", path)
	sys.Wait("the stand-in to listen", func() bool { return strings.HasPrefix(sys.Standin.Output(), "http://") })
	sys.PlatformURL = strings.TrimSpace(sys.Standin.Output())
	for range entries {
		sys.AddEntry()
	}
	for i := range sys.Entries {
		sys.WaitReady(i)
	}
	return sys
}

// AddEntry starts one more entry and returns its index.
func (s *System) AddEntry() int {
	s.t.Helper()
	index := len(s.Entries)
	addresses, err := freeport.Addresses(3)
	require.NoError(s.t, err)
	cfg := settings.DefaultEntry()
	cfg.Name = fmt.Sprintf("entry-%d", index+1)
	cfg.AvailabilityZone = fmt.Sprintf("az-%d", index%4+1)
	cfg.Callers, cfg.Operators, cfg.Peers = addresses[0], addresses[1], addresses[2]
	cfg.Platform = s.PlatformURL
	for _, other := range s.Entries {
		cfg.Seeds = append(cfg.Seeds, other.Settings.Peers)
	}
	cfg.OperatorKeyHashes = []string{statemachine.HashKey(OperatorKey)}
	cfg.LogLevel = "debug"
	if s.ModifySettings != nil {
		s.ModifySettings(&cfg)
	}
	path := writeFile(s.t, cfg.Name+".json", cfg)
	s.Entries = append(s.Entries, &Entry{Process: Start(s.t, "entry", "-settings", path), Settings: cfg})
	return index
}

// Ready reports whether the entry says that it takes requests.
func (s *System) Ready(index int) bool {
	resp, err := s.HTTP.Get("http://" + s.Entries[index].Settings.Operators + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the entry is ready.
func (s *System) WaitReady(index int) {
	s.t.Helper()
	s.Wait("entry "+s.Entries[index].Settings.Name+" to be ready", func() bool { return s.Ready(index) })
}

// OperatorClient returns a client for the entry's operators' interface.
func (s *System) OperatorClient(index int) *api.Client {
	return api.NewClient("http://"+s.Entries[index].Settings.Operators, OperatorKey, s.HTTP)
}

// Client returns a client for the entry's callers' interface.
func (s *System) Client(index int, key string) *api.Client {
	return api.NewClient("http://"+s.Entries[index].Settings.Callers, key, s.HTTP)
}

// ApplyCatalog applies the catalog through the first entry.
func (s *System) ApplyCatalog(c settings.Catalog) {
	s.t.Helper()
	ctx := context.Background()
	client := s.OperatorClient(0)
	for _, pool := range c.Pools {
		_, err := client.SetPool(ctx, pool, 0)
		require.NoError(s.t, err)
	}
	_, err := client.SetTemplate(ctx, c.Template, 0)
	require.NoError(s.t, err)
	for _, workspace := range c.Workspaces {
		_, err := client.SetWorkspace(ctx, workspace, 0)
		require.NoError(s.t, err)
	}
}

// GrantKey makes a key for the workspace through the first entry.
func (s *System) GrantKey(workspace string) api.KeyGranted {
	s.t.Helper()
	key, err := s.OperatorClient(0).GrantKey(context.Background(), api.KeyGrantRequest{Workspace: workspace})
	require.NoError(s.t, err)
	return key
}

// WaitCapacity waits until every entry knows all VMs and the limit of the
// team is allotted.
func (s *System) WaitCapacity(vms int, team string, limit int) {
	s.t.Helper()
	s.Wait("VMs and allotments", func() bool {
		allotted := 0
		for i := range s.Entries {
			status, err := s.OperatorClient(i).Status(context.Background())
			if err != nil {
				return false
			}
			known := 0
			for _, count := range status.Pools {
				known += count
			}
			if known < vms {
				return false
			}
			allotted += status.Teams[team].Allotted
		}
		return allotted == limit
	})
}

// ExecutionRecord returns the workers' own account of what ran.
func (s *System) ExecutionRecord() standin.ExecutionRecord {
	s.t.Helper()
	resp, err := s.HTTP.Get(s.PlatformURL + "/v1/record")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var out standin.ExecutionRecord
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// SetLogFaults sets the switches of the log.
func (s *System) SetLogFaults(f standin.LogFaults) {
	s.t.Helper()
	s.put("/v1/faults/log", f)
}

// SetVMFaults sets the switches of a VM.
func (s *System) SetVMFaults(vm string, f standin.VMFaults) {
	s.t.Helper()
	s.put("/v1/faults/vms/"+vm, f)
}

func (s *System) put(path string, body any) {
	s.t.Helper()
	raw, err := json.Marshal(body)
	require.NoError(s.t, err)
	req, err := http.NewRequest(http.MethodPut, s.PlatformURL+path, bytes.NewReader(raw))
	require.NoError(s.t, err)
	resp, err := s.HTTP.Do(req)
	require.NoError(s.t, err)
	_ = resp.Body.Close()
	require.Equal(s.t, http.StatusNoContent, resp.StatusCode)
}

// Wait polls until the condition holds, and fails the test if it does not.
func (s *System) Wait(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(waitPoll)
	}
}

func writeFile(t testing.TB, name string, v any) string {
	t.Helper()
	raw, err := json.MarshalIndent(v, "", "  ")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	return path
}
