package provider_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/provider/fakeworkers"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
)

const ttl = time.Minute

// fault names a switch that every subject of the contract has.
type fault string

const (
	none      fault = "none"
	failAll   fault = "fail all"
	crossed   fault = "crossed"
	truncated fault = "truncated"
	lostReply fault = "reply lost"
	late      fault = "late"
	gone      fault = "gone"
)

// subject is one implementation of provider.Workers under the contract.
type subject struct {
	workers provider.Workers
	address string
	set     func(t *testing.T, f fault)
	starts  func() map[string]int
	own     func(id string, body, answer []byte) bool
}

func fakeSubject(*testing.T) subject {
	fleet := fakeworkers.New(clockwork.NewRealClock())
	fleet.AddVM("vm", 8)
	faults := map[fault]fakeworkers.Faults{
		failAll: {FailTasks: true}, crossed: {MismatchReplies: true}, truncated: {TruncateReplies: true},
		lostReply: {DropReplies: 1}, late: {ReplyDelay: time.Minute}, gone: {TimesOut: true},
	}
	return subject{
		workers: fleet, address: "vm", starts: fleet.StartCounts,
		set: func(_ *testing.T, f fault) { fleet.SetFaults("vm", faults[f]) },
		own: func(id string, body, answer []byte) bool {
			return string(answer) == string(fakeworkers.ExpectedAnswer(id, body))
		},
	}
}

func httpSubject(t *testing.T) subject {
	server, err := standin.Start(settings.DefaultStandin())
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	faults := map[fault]standin.VMFaults{
		failAll: {FailTasks: true}, crossed: {MismatchReplies: true}, truncated: {TruncateReplies: true},
		lostReply: {DropReplies: 1}, late: {ReplyDelayMS: 60000}, gone: {Failed: true},
	}
	set := func(t *testing.T, f fault) {
		raw, err := json.Marshal(faults[f])
		require.NoError(t, err)
		req, err := http.NewRequest(http.MethodPut, server.URL()+"/v1/faults/vms/vm-000", strings.NewReader(string(raw)))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	own := func(id string, body, answer []byte) bool {
		var got standin.TaskAnswer
		return json.Unmarshal(answer, &got) == nil && got.Task == id && got.Digest == standin.Digest(body)
	}
	return subject{
		workers: provider.NewHTTPWorkers(provider.NewHTTPClient()), address: server.URL() + "/vms/vm-000",
		set: set, starts: func() map[string]int { return server.ExecutionRecord().Starts }, own: own,
	}
}

func (s subject) run(t *testing.T, ctx context.Context, id string, attempt int, body string) (provider.Answer, error) {
	t.Helper()
	lease, err := s.workers.AcquireSlot(ctx, s.address, provider.SlotRequest{Holder: "e", TTL: ttl})
	require.NoError(t, err)
	return s.workers.RunTask(ctx, s.address, provider.Task{ID: id, Attempt: attempt, LeaseID: lease.ID, Team: "team", Body: []byte(body)})
}

// TestWorkersContract holds each implementation to the same outcomes.
func TestWorkersContract(t *testing.T) {
	subjects := map[string]func(*testing.T) subject{"fake": fakeSubject, "http": httpSubject}
	cases := []struct {
		name    string
		fault   fault
		body    string
		patient time.Duration
		outcome provider.Outcome
		code    provider.Code
		state   provider.TaskState
	}{
		{"answered", none, `{"work_ms":1}`, ttl, "", "", provider.TaskSucceeded},
		{"answered on empty body", none, ``, ttl, "", "", provider.TaskSucceeded},
		{"failed by its work", none, `{"fail":true}`, ttl, provider.Failed, provider.CodeTaskFailed, provider.TaskFailed},
		{"failed by the VM", failAll, `{}`, ttl, provider.Failed, provider.CodeTaskFailed, provider.TaskFailed},
		{"crossed answer", crossed, `{}`, ttl, provider.Unknown, provider.CodeMismatch, provider.TaskSucceeded},
		{"crossed failure", crossed, `{"fail":true}`, ttl, provider.Unknown, provider.CodeMismatch, provider.TaskFailed},
		{"truncated answer", truncated, `{}`, ttl, provider.Unknown, provider.CodeTruncated, provider.TaskSucceeded},
		{"lost reply", lostReply, `{}`, ttl, provider.Unknown, provider.CodeTimeout, provider.TaskSucceeded},
		{"late answer", late, `{}`, 50 * time.Millisecond, provider.Unknown, provider.CodeTimeout, provider.TaskSucceeded},
	}
	for name, newSubject := range subjects {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				s := newSubject(t)
				_, err := s.run(t, context.Background(), "before", 1, `{"other":1}`)
				require.NoError(t, err)
				s.set(t, c.fault)
				ctx, cancel := context.WithTimeout(context.Background(), c.patient)
				defer cancel()
				answer, err := s.run(t, ctx, "task", 2, c.body)
				if c.outcome == "" {
					require.NoError(t, err)
					require.True(t, s.own("task", []byte(c.body), answer.Body))
				} else {
					require.Equal(t, c.outcome, provider.OutcomeOf(err), "%v", err)
					require.Equal(t, c.code, provider.CodeOf(err), "%v", err)
				}
				require.Equal(t, 1, s.starts()["task"])
				require.Eventually(t, func() bool { return s.stateOf("task", 2) == c.state }, ttl, time.Millisecond)
			})
		}
		t.Run(name+"/refused", func(t *testing.T) { refused(t, newSubject(t)) })
		t.Run(name+"/stopped", func(t *testing.T) { stopped(t, newSubject(t)) })
	}
}

func (s subject) stateOf(id string, attempt int) provider.TaskState {
	list, err := s.workers.ListTasks(context.Background(), s.address)
	if err != nil {
		return ""
	}
	for _, task := range list.Tasks {
		if task.ID == id && task.Attempt == attempt {
			return task.State
		}
	}
	return ""
}

// refused checks that a refusal is said only of a task that has not begun,
// and that the record proves so.
func refused(t *testing.T, s subject) {
	ctx := context.Background()
	lapsing, err := s.workers.AcquireSlot(ctx, s.address, provider.SlotRequest{Holder: "e", TTL: time.Nanosecond})
	require.NoError(t, err)
	time.Sleep(time.Millisecond)
	_, err = s.workers.RunTask(ctx, s.address, provider.Task{ID: "task", Attempt: 1, LeaseID: lapsing.ID})
	require.Equal(t, provider.Refused, provider.OutcomeOf(err))
	require.Equal(t, provider.CodeLeaseExpired, provider.CodeOf(err))
	require.Empty(t, s.starts())
	list, err := s.workers.ListTasks(ctx, s.address)
	require.NoError(t, err)
	require.True(t, list.Covers(lapsing.RecordID, lapsing.TasksStarted))
	require.False(t, list.Covers("another", lapsing.TasksStarted))
	s.set(t, gone)
	_, err = s.workers.AcquireSlot(ctx, s.address, provider.SlotRequest{Holder: "e", TTL: ttl})
	require.Equal(t, provider.Unknown, provider.OutcomeOf(err))
}

// stopped checks that a stop from outside is told from a failure and leaves
// the checkpoint in the record.
func stopped(t *testing.T, s subject) {
	end := make(chan error, 1)
	go func() {
		_, err := s.run(t, context.Background(), "task", 1, `{"work_ms":60000}`)
		end <- err
	}()
	require.Eventually(t, func() bool { return s.stateOf("task", 1) == provider.TaskRunning }, ttl, time.Millisecond)
	require.NoError(t, s.workers.StopTask(context.Background(), s.address, "task", true))
	err := <-end
	require.Equal(t, provider.Failed, provider.OutcomeOf(err))
	require.Equal(t, provider.CodeTaskStopped, provider.CodeOf(err))
	require.Equal(t, provider.TaskStopped, s.stateOf("task", 1))
}

// TestHTTPWorkers_Replies feeds the adapter replies that a target must not
// get away with.
func TestHTTPWorkers_Replies(t *testing.T) {
	identified := func(w http.ResponseWriter, attempt string) {
		w.Header().Set(provider.HeaderTask, "task")
		w.Header().Set(provider.HeaderAttempt, attempt)
	}
	refusal := func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"code":"full","outcome":"refused","message":"no"}`))
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		outcome provider.Outcome
		code    provider.Code
	}{
		{"answer of an earlier attempt", func(w http.ResponseWriter, _ *http.Request) {
			identified(w, "1")
			_, _ = w.Write([]byte("answer"))
		}, provider.Unknown, provider.CodeMismatch},
		{"answer without identity", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) },
			provider.Unknown, provider.CodeMismatch},
		{"answer shorter than announced", func(w http.ResponseWriter, _ *http.Request) {
			identified(w, "2")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("short"))
		}, provider.Unknown, provider.CodeTruncated},
		{"answer without a length", func(w http.ResponseWriter, _ *http.Request) {
			identified(w, "2")
			_, _ = w.Write([]byte("a"))
			w.(http.Flusher).Flush()
		}, provider.Unknown, provider.CodeTruncated},
		{"refusal of an earlier attempt", func(w http.ResponseWriter, _ *http.Request) {
			identified(w, "1")
			refusal(w)
		}, provider.Unknown, provider.CodeMismatch},
		{"refusal without identity", func(w http.ResponseWriter, _ *http.Request) { refusal(w) },
			provider.Unknown, provider.CodeMismatch},
		{"own refusal", func(w http.ResponseWriter, _ *http.Request) {
			identified(w, "2")
			refusal(w)
		}, provider.Refused, provider.CodeFull},
		{"error page", func(w http.ResponseWriter, _ *http.Request) {
			identified(w, "2")
			http.Error(w, "bad gateway", http.StatusBadGateway)
		}, provider.Unknown, provider.CodeUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			workers := provider.NewHTTPWorkers(provider.NewHTTPClient())
			_, err := workers.RunTask(context.Background(), server.URL, provider.Task{ID: "task", Attempt: 2})
			require.Equal(t, c.outcome, provider.OutcomeOf(err), "%v", err)
			require.Equal(t, c.code, provider.CodeOf(err), "%v", err)
		})
	}
}
