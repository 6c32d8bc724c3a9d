package provider

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// Header names of the task calls. The body of a call contains only the task's
// payload.
const (
	HeaderTask       = "Task-Id"
	HeaderAttempt    = "Task-Attempt"
	HeaderLease      = "Task-Lease"
	HeaderTeam       = "Task-Team"
	HeaderHolder     = "Task-Holder"
	HeaderCheckpoint = "Task-Checkpoint"
	HeaderFreeSlots  = "Slots-Free"
)

// MaxAnswerBytes bounds the answer of one task.
const MaxAnswerBytes = 16 << 20

// httpWorkers is the HTTP adapter of Workers and VMLifecycle.
type httpWorkers struct {
	client *http.Client
}

// NewHTTPWorkers returns the adapter that reaches each VM at its own address.
func NewHTTPWorkers(client *http.Client) Workers {
	return &httpWorkers{client: client}
}

// NewHTTPVMLifecycle returns the adapter that drains and reboots VMs.
func NewHTTPVMLifecycle(client *http.Client) VMLifecycle {
	return &httpWorkers{client: client}
}

func (w *httpWorkers) AcquireSlot(ctx context.Context, address string, req SlotRequest) (SlotLease, error) {
	var lease SlotLease
	err := callJSON(ctx, w.client, "worker.acquire", http.MethodPost, address+"/slots", req, &lease)
	return lease, err
}

func (w *httpWorkers) ReleaseSlot(ctx context.Context, address, lease string) error {
	return callJSON(ctx, w.client, "worker.release", http.MethodDelete, address+"/slots/"+url.PathEscape(lease), nil, nil)
}

func (w *httpWorkers) RunTask(ctx context.Context, address string, task Task) (Answer, error) {
	const op = "worker.run"
	req, err := newRequest(ctx, http.MethodPost, address+"/tasks", task.Body)
	if err != nil {
		return Answer{}, &Error{Op: op, Outcome: Refused, Code: CodeInvalid, Message: err.Error()}
	}
	setTaskHeaders(req.Header, task)
	resp, err := w.client.Do(req)
	if err != nil {
		return Answer{}, transportError(op, err)
	}
	defer resp.Body.Close()
	if err := checkIdentity(op, resp, task); err != nil {
		return Answer{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Answer{}, responseError(op, resp)
	}
	return readAnswer(op, resp)
}

func setTaskHeaders(h http.Header, task Task) {
	h[HeaderTask] = []string{task.ID}
	h[HeaderAttempt] = []string{strconv.Itoa(task.Attempt)}
	h[HeaderLease] = []string{task.LeaseID}
	h[HeaderTeam] = []string{task.Team}
	h[HeaderHolder] = []string{task.Holder}
	if task.Checkpoint != "" {
		h[HeaderCheckpoint] = []string{task.Checkpoint}
	}
}

// checkIdentity accepts a reply (answer, failure or refusal) only if it has the
// task's ID and attempt. Any other reply leaves the outcome unknown.
func checkIdentity(op string, resp *http.Response, task Task) error {
	id, attempt := resp.Header.Get(HeaderTask), resp.Header.Get(HeaderAttempt)
	if id == task.ID && attempt == strconv.Itoa(task.Attempt) {
		return nil
	}
	msg := fmt.Sprintf("the reply is for task %q attempt %q", id, attempt)
	return &Error{Op: op, Outcome: Unknown, Code: CodeMismatch, Message: msg}
}

// readAnswer accepts an answer only when it is complete.
func readAnswer(op string, resp *http.Response) (Answer, error) {
	if resp.ContentLength < 0 || resp.ContentLength > MaxAnswerBytes {
		msg := fmt.Sprintf("announced length %d is outside 0 to %d", resp.ContentLength, MaxAnswerBytes)
		return Answer{}, &Error{Op: op, Outcome: Unknown, Code: CodeTruncated, Message: msg}
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return Answer{}, &Error{Op: op, Outcome: Unknown, Code: CodeTruncated, Message: err.Error()}
	}
	free, err := strconv.Atoi(resp.Header.Get(HeaderFreeSlots))
	if err != nil {
		free = 0
	}
	return Answer{Body: body, FreeSlots: free}, nil
}

func (w *httpWorkers) StopTask(ctx context.Context, address, taskID string, checkpoint bool) error {
	target := fmt.Sprintf("%s/tasks/%s/stop?checkpoint=%t", address, url.PathEscape(taskID), checkpoint)
	return callJSON(ctx, w.client, "worker.stop", http.MethodPost, target, nil, nil)
}

func (w *httpWorkers) ListTasks(ctx context.Context, address string) (TaskList, error) {
	var list TaskList
	err := callJSON(ctx, w.client, "worker.list", http.MethodGet, address+"/tasks", nil, &list)
	return list, err
}

func (w *httpWorkers) Drain(ctx context.Context, address string) error {
	return callJSON(ctx, w.client, "pool.drain", http.MethodPost, address+"/drain", nil, nil)
}

func (w *httpWorkers) Reboot(ctx context.Context, address string, at TaskListPosition) error {
	return callJSON(ctx, w.client, "pool.reboot", http.MethodPost, address+"/reboot", at, nil)
}

func (w *httpWorkers) Resume(ctx context.Context, address string) error {
	return callJSON(ctx, w.client, "pool.return", http.MethodPost, address+"/return", nil, nil)
}
