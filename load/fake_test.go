package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// fault is how a fake entry breaks a promise, or "".
type entryFault string

const (
	crossedAnswers  entryFault = "crossed answers"
	startsTwice     entryFault = "starts everything twice"
	refusesAndRuns  entryFault = "refuses and runs"
	neverEnds       entryFault = "jobs never end"
	endsUnexplained entryFault = "jobs end without a reason"
	forgetsStarts   entryFault = "answers what was not started"
)

// fakeEntry answers callers and operators, and keeps the record of starts.
type fakeEntry struct {
	t      *testing.T
	fault  entryFault
	mu     sync.Mutex
	number int
	starts map[string]int
	bodies map[string][]byte
	cancel map[string]bool
	keys   int
	// dead is the address of another entry that is gone, if any.
	dead string
}

func startFake(t *testing.T, fault entryFault) (*fakeEntry, *httptest.Server) {
	f := &fakeEntry{t: t, fault: fault, starts: make(map[string]int), bodies: make(map[string][]byte), cancel: make(map[string]bool)}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return f, server
}

func (f *fakeEntry) record() (map[string]int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts, nil
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	path := r.URL.Path
	switch {
	case path == "/v1/status":
		self := statemachine.Entry{Incarnation: "e", ClientAddress: r.Host}
		out := api.Status{Incarnation: "e", Entries: []api.EntryStatus{{Entry: self}}}
		if f.dead != "" {
			out.Entries = append(out.Entries, api.EntryStatus{Entry: statemachine.Entry{Incarnation: "d", ClientAddress: f.dead}, Reachable: true})
		}
		f.write(w, out)
	case path == "/v1/keys":
		f.keys++
		var req api.KeyGrantRequest
		require.NoError(f.t, json.Unmarshal(body, &req))
		f.write(w, api.KeyGranted{Key: req.Workspace, Hash: req.Workspace})
	case strings.HasPrefix(path, "/v1/keys/"):
		f.keys--
		f.write(w, api.Accepted{})
	case strings.HasSuffix(path, "/requests"):
		f.request(w, r, body)
	case strings.HasSuffix(path, "/jobs"):
		id := "job-" + f.orderID(r)
		f.start(id)
		f.bodies[id] = body
		f.write(w, api.Job{ID: id, State: statemachine.JobQueued})
	default:
		f.job(w, r, strings.TrimPrefix(path, "/v1/jobs/"))
	}
}

func (f *fakeEntry) write(w io.Writer, v any) {
	require.NoError(f.t, json.NewEncoder(w).Encode(v))
}

// orderID is that of the submission. The fake's keys are workspaces.
func (f *fakeEntry) orderID(r *http.Request) string {
	catalog, err := examples.Catalog("apitt")
	require.NoError(f.t, err)
	workspace := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	for _, w := range catalog.Workspaces {
		if w.Name == workspace {
			return statemachine.OrderID(w.Team, r.Header.Get(api.HeaderIdempotencyKey))
		}
	}
	return ""
}

func (f *fakeEntry) start(id string) {
	if f.fault == forgetsStarts {
		return
	}
	f.starts[id]++
	if f.fault == startsTwice {
		f.starts[id]++
	}
}

func (f *fakeEntry) request(w http.ResponseWriter, r *http.Request, body []byte) {
	f.number++
	id := fmt.Sprint("request-", f.number)
	if r.Header.Get(api.HeaderIdempotencyKey) != "" {
		id = f.orderID(r)
	}
	if f.starts[id] == 0 {
		f.start(id)
	}
	if f.fault == refusesAndRuns {
		w.WriteHeader(http.StatusServiceUnavailable)
		f.write(w, api.Problem{Title: "no_capacity", Status: 503, Outcome: "not_run", Request: id})
		return
	}
	if f.fault == crossedAnswers {
		body = append(body, ' ')
	}
	w.Header().Set(api.HeaderRequest, id)
	f.write(w, standin.TaskAnswer{Task: id, Digest: standin.Digest(body)})
}

func (f *fakeEntry) job(w http.ResponseWriter, r *http.Request, id string) {
	if r.Method == http.MethodDelete {
		f.cancel[id] = true
	}
	out := api.Job{ID: id, State: statemachine.JobDone}
	raw, err := json.Marshal(standin.TaskAnswer{Task: id, Digest: standin.Digest(f.bodies[id])})
	require.NoError(f.t, err)
	out.Answer = raw
	switch {
	case f.fault == neverEnds:
		out = api.Job{ID: id, State: statemachine.JobRunning}
	case f.fault == endsUnexplained:
		out = api.Job{ID: id, State: statemachine.JobFailed}
	case f.cancel[id]:
		out = api.Job{ID: id, State: statemachine.JobCancelled, Message: "cancelled while it ran"}
	}
	f.write(w, out)
}

func fakeConfig(t *testing.T, f *fakeEntry, server *httptest.Server) Config {
	t.Helper()
	catalog, err := examples.Catalog("apitt")
	require.NoError(t, err)
	return Config{
		Operator: api.NewClient(server.URL, "", server.Client()), HTTP: server.Client(), Catalog: catalog,
		Rate: 1000, Duration: 10 * time.Second, MaxRequests: 100, MeanRunTime: time.Millisecond, Timeout: time.Second,
		OrderFraction: 0.5, RepeatFraction: 0.5, JobRate: 1000, MeanJobRunTime: time.Millisecond, JobTimeout: time.Minute,
		Steady: true, Seed: 1, Capacity: 8, ReadStartCounts: f.record,
	}
}
