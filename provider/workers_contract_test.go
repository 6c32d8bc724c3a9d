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

// fault is a fault that every implementation under test can inject.
type fault string

const (
	none            fault = "none"
	failTasks       fault = "fail all"
	mismatchReplies fault = "crossed"
	truncateReplies fault = "truncated"
	dropReply       fault = "reply lost"
	delayReply      fault = "late"
	timesOut        fault = "gone"
)

// implementation is one implementation of provider.Workers under the contract.
type implementation struct {
	workers          provider.Workers
	address          string
	setFault         func(t *testing.T, f fault)
	startCounts      func() map[string]int
	isExpectedAnswer func(id string, body, answer []byte) bool
}

func fakeImplementation(*testing.T) implementation {
	fleet := fakeworkers.New(clockwork.NewRealClock())
	fleet.AddVM("vm", 8)
	faults := map[fault]fakeworkers.Faults{
		failTasks: {FailTasks: true}, mismatchReplies: {MismatchReplies: true}, truncateReplies: {TruncateReplies: true},
		dropReply: {DropReplies: 1}, delayReply: {ReplyDelay: time.Minute}, timesOut: {TimesOut: true},
	}
	return implementation{
		workers: fleet, address: "vm", startCounts: fleet.StartCounts,
		setFault: func(_ *testing.T, f fault) { fleet.SetFaults("vm", faults[f]) },
		isExpectedAnswer: func(id string, body, answer []byte) bool {
			return string(answer) == string(fakeworkers.ExpectedAnswer(id, body))
		},
	}
}

func httpImplementation(t *testing.T) implementation {
	server, err := standin.Start(settings.DefaultStandin())
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	faults := map[fault]standin.VMFaults{
		failTasks: {FailTasks: true}, mismatchReplies: {MismatchReplies: true}, truncateReplies: {TruncateReplies: true},
		dropReply: {DropReplies: 1}, delayReply: {ReplyDelayMS: 60000}, timesOut: {Failed: true},
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
	return implementation{
		workers: provider.NewHTTPWorkers(provider.NewHTTPClient()), address: server.URL() + "/vms/vm-000",
		setFault: set, startCounts: func() map[string]int { return server.ExecutionRecord().Starts }, isExpectedAnswer: own,
	}
}

func (s implementation) run(t *testing.T, ctx context.Context, id string, attempt int, body string) (provider.Answer, error) {
	t.Helper()
	lease, err := s.workers.AcquireSlot(ctx, s.address, provider.SlotRequest{Holder: "e", TTL: ttl})
	require.NoError(t, err)
	return s.workers.RunTask(ctx, s.address, provider.Task{ID: id, Attempt: attempt, LeaseID: lease.ID, Team: "team", Body: []byte(body)})
}

// TestWorkersContract checks that all implementations have the same outcomes.
func TestWorkersContract(t *testing.T) {
	implementations := map[string]func(*testing.T) implementation{"fake": fakeImplementation, "http": httpImplementation}
	cases := []struct {
		name    string
		fault   fault
		body    string
		timeout time.Duration
		outcome provider.Outcome
		code    provider.Code
		state   provider.TaskState
	}{
		{"answered", none, `{"work_ms":1}`, ttl, "", "", provider.TaskSucceeded},
		{"answered on empty body", none, ``, ttl, "", "", provider.TaskSucceeded},
		{"failed task", none, `{"fail":true}`, ttl, provider.Failed, provider.CodeTaskFailed, provider.TaskFailed},
		{"failed by the VM", failTasks, `{}`, ttl, provider.Failed, provider.CodeTaskFailed, provider.TaskFailed},
		{"mismatched answer", mismatchReplies, `{}`, ttl, provider.Unknown, provider.CodeMismatch, provider.TaskSucceeded},
		{"mismatched failure", mismatchReplies, `{"fail":true}`, ttl, provider.Unknown, provider.CodeMismatch, provider.TaskFailed},
		{"truncated answer", truncateReplies, `{}`, ttl, provider.Unknown, provider.CodeTruncated, provider.TaskSucceeded},
		{"lost reply", dropReply, `{}`, ttl, provider.Unknown, provider.CodeTimeout, provider.TaskSucceeded},
		{"late answer", delayReply, `{}`, 50 * time.Millisecond, provider.Unknown, provider.CodeTimeout, provider.TaskSucceeded},
	}
	for name, newImplementation := range implementations {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				s := newImplementation(t)
				_, err := s.run(t, context.Background(), "before", 1, `{"other":1}`)
				require.NoError(t, err)
				s.setFault(t, c.fault)
				ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
				defer cancel()
				answer, err := s.run(t, ctx, "task", 2, c.body)
				if c.outcome == "" {
					require.NoError(t, err)
					require.True(t, s.isExpectedAnswer("task", []byte(c.body), answer.Body))
				} else {
					require.Equal(t, c.outcome, provider.OutcomeOf(err), "%v", err)
					require.Equal(t, c.code, provider.CodeOf(err), "%v", err)
				}
				require.Equal(t, 1, s.startCounts()["task"])
				require.Eventually(t, func() bool { return s.stateOf("task", 2) == c.state }, ttl, time.Millisecond)
			})
		}
		t.Run(name+"/refused", func(t *testing.T) { testRefused(t, newImplementation(t)) })
		t.Run(name+"/stopped", func(t *testing.T) { testStopped(t, newImplementation(t)) })
	}
}

func (s implementation) stateOf(id string, attempt int) provider.TaskState {
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

// testRefused checks that only a task that has not started is refused, and that the
// task list proves it.
func testRefused(t *testing.T, s implementation) {
	ctx := context.Background()
	expiring, err := s.workers.AcquireSlot(ctx, s.address, provider.SlotRequest{Holder: "e", TTL: time.Nanosecond})
	require.NoError(t, err)
	time.Sleep(time.Millisecond)
	_, err = s.workers.RunTask(ctx, s.address, provider.Task{ID: "task", Attempt: 1, LeaseID: expiring.ID})
	require.Equal(t, provider.Refused, provider.OutcomeOf(err))
	require.Equal(t, provider.CodeLeaseExpired, provider.CodeOf(err))
	require.Empty(t, s.startCounts())
	list, err := s.workers.ListTasks(ctx, s.address)
	require.NoError(t, err)
	require.True(t, list.Covers(expiring.RecordID, expiring.TasksStarted))
	require.False(t, list.Covers("another", expiring.TasksStarted))
	s.setFault(t, timesOut)
	_, err = s.workers.AcquireSlot(ctx, s.address, provider.SlotRequest{Holder: "e", TTL: ttl})
	require.Equal(t, provider.Unknown, provider.OutcomeOf(err))
}

// testStopped checks that a stop request is distinguished from a failure and leaves
// the checkpoint in the task list.
func testStopped(t *testing.T, s implementation) {
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

// TestHTTPWorkers_Replies checks that the adapter does not accept invalid
// replies as proof of an outcome.
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
